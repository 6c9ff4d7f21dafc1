/** Formats help texts of the commands. */

/** The examples at the end of a command's help. */
export function formatExamples(...calls: string[]): string {
  const heading = calls.length === 1 ? 'Example:' : 'Examples:';
  return ['', heading, ...calls.map((call) => `  $ sorreldale ${call}`)].join('\n');
}
