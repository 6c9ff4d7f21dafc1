// Stands in for node:assert, of which sonic-boom, pino's file writer, uses the plain call only.
module.exports = (condition, message) => {
  if (!condition) throw new Error(message);
};
