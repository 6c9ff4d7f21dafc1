// Replaces body-parser in the bundled program. Express loads body-parser at startup, but this program does not use
// its parsers, because its bodies are CBOR. Their tables of character sets were a third of the code to load.
module.exports = {};
