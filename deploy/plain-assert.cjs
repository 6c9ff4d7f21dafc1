// The bundle takes this in place of node:assert, of which pino's file writer uses the plain call only.
module.exports = (condition, message) => {
  if (!condition) throw new Error(message);
};
