// Replaces node:assert for sonic-boom, pino's file writer, which only calls assert(condition, message).
module.exports = (condition, message) => {
  if (!condition) throw new Error(message);
};
