/** Circles of imports, of types too, that involve a finished folder (eslint/readable.js). */
import { READABLE } from './eslint/readable.js';

const readableFiles = `^packages/(${READABLE.join('|')})/`;

const noCircles = {
  name: 'no-circles',
  comment: 'Modules that import each other can only be read together.',
  severity: 'error',
  from: { path: readableFiles },
  to: { circular: true },
};

export default {
  forbidden: READABLE.length === 0 ? [] : [noCircles],
  options: {
    tsPreCompilationDeps: true,
    tsConfig: { fileName: 'tsconfig.json' },
    webpackConfig: { fileName: 'eslint/source-aliases.js' },
    doNotFollow: { path: 'node_modules' },
  },
};
