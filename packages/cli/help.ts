/** Texts of the commands' help. */

/** Text for the end of a command's help: how it may be called. */
export function formatExamples(...calls: string[]): string {
  const heading = calls.length === 1 ? 'Example:' : 'Examples:';
  return ['', heading, ...calls.map((call) => `  $ sorreldale ${call}`)].join('\n');
}
