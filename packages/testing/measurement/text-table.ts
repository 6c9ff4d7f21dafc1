/** Tables in Markdown, aligned for people who read them as they are. */

/** A column; numbers end at the same place. */
export interface Column {
  heading: string;
  isNumber?: boolean;
}

const SIGNIFICANT_DIGITS = 3;
const MAX_DECIMALS = 4;

/** Lines of a table, the last one ended as well. */
export function textTable(columns: Column[], rows: string[][]): string {
  const headings = columns.map(({ heading }) => heading);
  const widths = headings.map((_, at) =>
    Math.max(...[headings, ...rows].map((row) => row[at].length)),
  );
  const pad = (cell: string, at: number) =>
    columns[at].isNumber ? cell.padStart(widths[at]) : cell.padEnd(widths[at]);
  const rule = columns.map(({ isNumber }, at) =>
    isNumber ? `${'-'.repeat(widths[at] - 1)}:` : '-'.repeat(widths[at]),
  );
  const line = (cells: string[]) => `| ${cells.join(' | ')} |\n`;
  return [headings.map(pad), rule, ...rows.map((row) => row.map(pad))].map(line).join('');
}

/** With three significant digits, but no more than four after the point. */
export function formatNumber(value: number): string {
  if (!Number.isFinite(value)) return '-';
  if (Math.abs(value) >= 10 ** (SIGNIFICANT_DIGITS - 1)) return value.toFixed(0);
  return String(Number(Number(value.toPrecision(SIGNIFICANT_DIGITS)).toFixed(MAX_DECIMALS)));
}
