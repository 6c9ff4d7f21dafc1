// Stands in for body-parser in the bundled program. Express loads it for its body parsers, which this program does not
// use, since its bodies are CBOR; the parsers' tables of character sets were a third of the program to load.
module.exports = {};
