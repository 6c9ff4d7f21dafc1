/** Formats figures as a table for the terminal. */
import { describeMachine } from '../../measurement/machine-speed.js';
import { median } from '../../measurement/median.js';
import { type Column, formatNumber, textTable } from '../../measurement/text-table.js';
import type { Figure, Unit } from './figure.js';
import type { MeasuredFigures } from './measurement.js';
import type { Result, ResultContext } from './result.js';

/** One row of the table: a figure with its values from all runs of the measurement. */
interface Row {
  measurement: string;
  name: string;
  values: number[];
  unit: Unit;
  /** Median over the runs of the figure relative to its limit; null if no limit applies. */
  ofLimit: number | null;
}

const COLUMNS: Column[] = [
  { heading: 'measurement' },
  { heading: 'figure' },
  { heading: 'median', isNumber: true },
  { heading: 'least', isNumber: true },
  { heading: 'most', isNumber: true },
  { heading: 'unit' },
  { heading: 'of the limit', isNumber: true },
];

/** Describes the size of the cluster, the measured sources and the machine in several lines. */
export function describeContext(context: ResultContext, results: Result[]): string {
  const { sources, machine, size } = context;
  const { version, commit, changed } = sources;
  const { limits, workers } = size;
  const loads = results.map(({ load }) => load.toFixed(1));
  return [
    `${size.controllers} controllers with ${size.machines} machines that send a heartbeat every ` +
      `${workers.report_s} s, ${Math.round(size.jobsPerMinute)} jobs a minute; limits ` +
      `${limits.cpu_share} cores and ${limits.memory_mb} MB`,
    `sources ${version}${commit === null ? '' : ` ${commit}`}${changed ? ' with changes' : ''}`,
    `${describeMachine(machine)}, load after each measurement ${loads.join(' ')}`,
    ...describeThrottle(context),
    '',
    '',
  ].join('\n');
}

function describeThrottle({ throttleCores }: ResultContext): string[] {
  if (throttleCores === null) return [];
  return [
    `controllers limited to ${throttleCores} cores by stopping and continuing their processes`,
  ];
}

/** Formats the figures as a Markdown table, with all runs of a measurement in the same rows. */
export function formatTable(measured: MeasuredFigures[]): string {
  return textTable(COLUMNS, rowsOf(measured).map(cellsOf));
}

function rowsOf(measured: MeasuredFigures[]): Row[] {
  const rows = new Map<string, { measurement: string; figures: Figure[] }>();
  for (const { measurement, figures } of measured) {
    for (const figure of figures) {
      const key = `${measurement}/${figure.name}`;
      const row = rows.get(key) ?? { measurement, figures: [] };
      row.figures.push(figure);
      rows.set(key, row);
    }
  }
  return [...rows.values()].map(({ measurement, figures }) => rowOf(measurement, figures));
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
  const numbers = [median(values), Math.min(...values), Math.max(...values)].map(formatNumber);
  const statistics = values.length > 1 ? numbers : [numbers[0], '', ''];
  return [measurement, name, ...statistics, unit, formatShare(unit, ofLimit)];
}

/** Processor time is shown as the time that it takes at the limit, any other unit as a share of the limit. */
function formatShare(unit: Unit, ofLimit: number | null): string {
  if (ofLimit === null) return '';
  if (unit === 'processor s') return `${formatNumber(ofLimit)} s`;
  if (unit === 'processor ms') return `${formatNumber(ofLimit * 1000)} ms`;
  return formatNumber(ofLimit);
}
