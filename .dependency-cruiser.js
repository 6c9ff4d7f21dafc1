/** Circles of imports, of types too: there are none. */
const noCircles = {
  name: 'no-circles',
  comment: 'Modules that import each other can only be read together.',
  severity: 'error',
  from: { path: '^packages/' },
  to: { circular: true },
};

export default {
  forbidden: [noCircles],
  options: {
    tsPreCompilationDeps: true,
    tsConfig: { fileName: 'tsconfig.json' },
    webpackConfig: { fileName: 'eslint/source-aliases.js' },
    doNotFollow: { path: 'node_modules' },
  },
};
