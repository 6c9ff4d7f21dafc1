/** Markdown tables whose columns are aligned in plain text. */

/** A column of a table. Columns of numbers are aligned to the right. */
export interface Column {
  heading: string;
  isNumber?: boolean;
}

const SIGNIFICANT_DIGITS = 3;
const MAX_DECIMALS = 4;

/** Formats a table. Every line, including the last, ends with a line break. */
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

/** Formats a number with three significant digits, and at most four after the decimal point. */
export function formatNumber(value: number): string {
  if (!Number.isFinite(value)) return '-';
  if (Math.abs(value) >= 10 ** (SIGNIFICANT_DIGITS - 1)) return value.toFixed(0);
  return String(Number(Number(value.toPrecision(SIGNIFICANT_DIGITS)).toFixed(MAX_DECIMALS)));
}
