/** Forbids circular imports, including imports of types only. */
const noCircles = {
  name: 'no-circles',
  comment: 'Modules that import each other cannot be understood separately.',
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
