/** Prints figures as a table for people. */
import type { Figure, Unit } from './figure.js';
import type { Measured } from './measurement.js';
import type { Result, ResultContext } from './result.js';

/** One line: a figure over all runs of its measurement. */
interface Row {
  measurement: string;
  name: string;
  values: number[];
  unit: Unit;
  /** Median of the runs; null if no limit is about it. */
  ofLimit: number | null;
}

const HEADING = ['measurement', 'figure', 'median', 'least', 'most', 'unit', 'of the limit'];
const DIGITS = 3;
const MOST_DECIMALS = 4;
/** The columns of numbers, which end at the same place. */
const NUMBERS = new Set([2, 3, 4, 6]);

/** What was measured, with what, and where; lines of text. */
export function describeContext(context: ResultContext, results: Result[]): string {
  const { sources, machine, size } = context;
  const { version, commit, changed } = sources;
  const { limits, workers } = size;
  const loads = results.map(({ load }) => load.toFixed(1));
  return [
    `${size.controllers} controllers with ${size.machines} machines that report every ` +
      `${workers.report_s} s, ${Math.round(size.jobsPerMinute)} jobs a minute; limits ` +
      `${limits.cpu_share} cores and ${limits.memory_mb} MB`,
    `sources ${version} ${commit ?? ''}${changed ? ' with changes' : ''}, Node ${machine.node}`,
    `${machine.cores} cores, ${machine.model}: calibration ${machine.calibrationMs.toFixed(0)} ms, ` +
      `load after each measurement ${loads.join(' ')}`,
    ...describeThrottle(context),
    '',
    '',
  ].join('\n');
}

function describeThrottle({ throttleCores }: ResultContext): string[] {
  if (throttleCores === null) return [];
  return [`controllers held to ${throttleCores} cores by stopping and continuing their processes`];
}

/** Lines of a table in Markdown; several runs of one measurement share their lines. */
export function formatTable(measured: Measured[]): string {
  const rows = [HEADING, ...rowsOf(measured).map(cellsOf)];
  const widths = HEADING.map((_, column) => Math.max(...rows.map((row) => row[column].length)));
  const rule = widths.map((width, column) =>
    NUMBERS.has(column) ? '-'.repeat(width - 1) + ':' : '-'.repeat(width),
  );
  const pad = (cell: string, column: number) =>
    NUMBERS.has(column) ? cell.padStart(widths[column]) : cell.padEnd(widths[column]);
  const line = (cells: string[]) => `| ${cells.map(pad).join(' | ')} |\n`;
  return [rows[0], rule, ...rows.slice(1)].map(line).join('');
}

/** The middle value, or the mean of the middle two. */
function median(values: number[]): number {
  const sorted = [...values].sort((first, second) => first - second);
  const half = sorted.length >> 1;
  return sorted.length % 2 === 1 ? sorted[half] : (sorted[half - 1] + sorted[half]) / 2;
}

function rowsOf(measured: Measured[]): Row[] {
  const found = new Map<string, { measurement: string; figures: Figure[] }>();
  for (const { measurement, figures } of measured) {
    for (const figure of figures) {
      const key = `${measurement}/${figure.name}`;
      const row = found.get(key) ?? { measurement, figures: [] };
      row.figures.push(figure);
      found.set(key, row);
    }
  }
  return [...found.values()].map(({ measurement, figures }) => rowOf(measurement, figures));
}

function rowOf(measurement: string, figures: Figure[]): Row {
  const shares = figures.flatMap(({ ofLimit }) => (ofLimit === null ? [] : [ofLimit]));
  return {
    measurement,
    name: figures[0].name,
    values: figures.map(({ value }) => value),
    unit: figures[0].unit,
    ofLimit: shares.length > 0 ? median(shares) : null,
  };
}

function cellsOf({ measurement, name, values, unit, ofLimit }: Row): string[] {
  const numbers = [median(values), Math.min(...values), Math.max(...values)].map(format);
  const several = values.length > 1 ? numbers : [numbers[0], '', ''];
  return [measurement, name, ...several, unit, formatShare(unit, ofLimit)];
}

/** What processor time takes at the limit is time; all else is a share. */
function formatShare(unit: Unit, ofLimit: number | null): string {
  if (ofLimit === null) return '';
  if (unit === 'processor s') return `${format(ofLimit)} s`;
  if (unit === 'processor ms') return `${format(ofLimit * 1000)} ms`;
  return format(ofLimit);
}

/** With three significant digits, but no more than four after the point. */
function format(value: number): string {
  if (!Number.isFinite(value)) return '-';
  if (Math.abs(value) >= 10 ** (DIGITS - 1)) return value.toFixed(0);
  return String(Number(Number(value.toPrecision(DIGITS)).toFixed(MOST_DECIMALS)));
}
