import jsdoc from 'eslint-plugin-jsdoc';
import tseslint from 'typescript-eslint';
import moduleComment from './eslint/module-comment.js';
import { READABLE } from './eslint/readable.js';
import retiredWords from './eslint/retired-words.js';
import { ALLOWED_PHRASES, CODEC_FILES, RETIRED_WORDS } from './eslint/vocabulary.js';

const SOURCES = ['packages/**/*.{ts,cts}'];
const PRODUCTION = [
  'packages/{wire,dependencies,core,store,peer,shards,replicas,controller,cli}/**/*.{ts,cts}',
];
const TESTS = ['packages/**/*.test.ts'];
const GIVEN = 'Use the Runtime that the caller passes in (packages/wire/runtime.ts).';

const machineProperties = [
  { object: 'Date', property: 'now', message: GIVEN },
  { object: 'Math', property: 'random', message: GIVEN },
  { object: 'process', property: 'hrtime', message: GIVEN },
  { object: 'net', property: 'connect', message: GIVEN },
  { object: 'net', property: 'createConnection', message: GIVEN },
  { object: 'globalThis', property: 'setTimeout', message: GIVEN },
  { object: 'globalThis', property: 'setInterval', message: GIVEN },
  { object: 'globalThis', property: 'performance', message: GIVEN },
];

/** Forbids Node APIs that production code must take from its Runtime, so that tests can simulate them. */
const runtimeRules = {
  'no-restricted-globals': [
    'error',
    ...[
      'performance',
      'setTimeout',
      'setInterval',
      'setImmediate',
      'clearTimeout',
      'clearInterval',
    ].map((name) => ({ name, message: GIVEN })),
  ],
  'no-restricted-properties': ['error', ...machineProperties],
  'no-restricted-syntax': [
    'error',
    { selector: "NewExpression[callee.name='Date'][arguments.length=0]", message: GIVEN },
    {
      selector: "NewExpression[callee.object.name='net'][callee.property.name='Socket']",
      message: GIVEN,
    },
    {
      selector:
        "CallExpression[callee.property.name='listen']:not([callee.object.property.name='network'], [callee.object.name='network'])",
      message: GIVEN,
    },
  ],
  'no-restricted-imports': [
    'error',
    {
      paths: [
        ...['timers', 'timers/promises', 'perf_hooks', 'crypto'].flatMap((name) => [
          { name, message: GIVEN },
          { name: `node:${name}`, message: GIVEN },
        ]),
        {
          name: 'net',
          message: "Import 'node:net' instead, for which these rules forbid single calls by name.",
        },
        {
          name: 'node:net',
          importNames: ['connect', 'createConnection', 'Socket'],
          message: GIVEN,
        },
        {
          name: 'rxjs',
          allowImportNames: ['BehaviorSubject', 'filter', 'Subject', 'Subscription'],
          message: 'RxJS operators that wait use the real clock, not that of the Runtime.',
        },
      ],
    },
  ],
};

/** Size limits of files and functions. Tests are exempt, since each runs through one scenario from start to end. */
const sizeRules = {
  'max-lines': ['error', { max: 250 }],
  'max-lines-per-function': ['error', { max: 40, skipComments: true, skipBlankLines: true }],
};

/** Packages that each package may import. Production code imports neither `testing`, `bundle` nor `#wire/serving`. */
const MAY_IMPORT = {
  wire: [],
  dependencies: [],
  core: ['wire'],
  store: ['wire', 'core'],
  peer: ['wire', 'core'],
  shards: ['wire', 'core', 'store'],
  replicas: ['wire', 'core'],
  controller: ['wire', 'dependencies', 'core', 'store', 'peer', 'shards', 'replicas'],
  cli: ['wire', 'core', 'store', 'peer', 'shards', 'replicas', 'controller'],
};
const PACKAGES = [...Object.keys(MAY_IMPORT), 'testing', 'bundle'];

/** Forbids imports of packages that are not allowed, by alias (`#core`) and by relative path. */
function directionRules(name, allowed) {
  const others = PACKAGES.filter((other) => !allowed.includes(other));
  return {
    '@typescript-eslint/no-restricted-imports': [
      'error',
      {
        patterns: [
          {
            regex: `^(#|(\\.\\./)+)(${others.join('|')})(/|$)|^#wire/serving`,
            message: `Packages import only lower packages; ${name} may import ${allowed.join(', ') || 'none'}.`,
          },
          {
            regex: `^(\\.\\./)+(${allowed.join('|') || '-'})/`,
            message: 'Import other packages by their alias, such as #core.',
          },
        ],
      },
    ],
  };
}

/** Like `directionRules` for tests, which may also import `testing` and `#wire/serving`. */
function testDirectionRules(name, allowed) {
  const others = PACKAGES.filter((other) => other !== 'testing' && !allowed.includes(other));
  const message = `Tests of ${name} may import ${[...allowed, 'testing'].join(', ')}.`;
  const regex = `^(#|(\\.\\./)+)(${others.join('|')})(/|$)`;
  return {
    '@typescript-eslint/no-restricted-imports': ['error', { patterns: [{ regex, message }] }],
  };
}

/** The files to which the strict rules apply (eslint/readable.js); dependency-cruiser forbids circular imports. */
const READABLE_FILES = READABLE.map((folder) => `packages/${folder}/**/*.{ts,cts}`);
const READABLE_TESTS = READABLE.map((folder) => `packages/${folder}/**/*.test.ts`);

const strictTypeRules = {
  '@typescript-eslint/restrict-template-expressions': [
    'error',
    {
      allowNumber: true,
      allowAny: false,
      allowBoolean: false,
      allowNever: false,
      allowNullish: false,
      allowRegExp: false,
    },
  ],
};

/** Requires a doc comment for each module and each export. */
const docCommentRules = {
  'local/module-comment': 'error',
  'jsdoc/no-blank-blocks': 'error',
  'jsdoc/require-jsdoc': [
    'error',
    {
      publicOnly: { esm: true, cjs: false, window: false },
      enableFixer: false,
      require: { FunctionDeclaration: true, ClassDeclaration: true },
      contexts: [
        'TSInterfaceDeclaration',
        'TSTypeAliasDeclaration',
        'TSEnumDeclaration',
        'ExportNamedDeclaration > VariableDeclaration',
      ],
    },
  ],
};

const vocabulary = { retiredWords: RETIRED_WORDS, allowedPhrases: ALLOWED_PHRASES };

const readableConfig = [
  {
    files: READABLE_FILES,
    ignores: TESTS,
    extends: [tseslint.configs.strictTypeChecked, tseslint.configs.stylisticTypeChecked],
    rules: strictTypeRules,
  },
  { files: READABLE_TESTS, extends: [tseslint.configs.recommendedTypeChecked] },
  { files: READABLE_FILES, ignores: TESTS, plugins: { jsdoc }, rules: docCommentRules },
  { files: READABLE_FILES, rules: { 'local/retired-words': ['error', vocabulary] } },
  {
    files: READABLE_FILES.flatMap((files) => CODEC_FILES.map((codecs) => [files, codecs])),
    rules: { 'local/retired-words': ['error', { ...vocabulary, ignoreProperties: true }] },
  },
];

export default tseslint.config(
  { ignores: ['target/**', 'node_modules/**', 'journal/**'] },
  ...tseslint.configs.recommended,
  {
    plugins: {
      local: { rules: { 'module-comment': moduleComment, 'retired-words': retiredWords } },
    },
  },
  ...(READABLE.length === 0 ? [] : readableConfig),
  {
    files: SOURCES,
    languageOptions: { parserOptions: { projectService: true } },
    rules: {
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/no-misused-promises': 'error',
      eqeqeq: 'error',
    },
  },
  { files: SOURCES, ignores: TESTS, rules: sizeRules },
  { files: PRODUCTION, ignores: ['packages/wire/runtime.ts', ...TESTS], rules: runtimeRules },
  {
    // Several controllers may run in one process, so only the command line may end the process.
    files: PRODUCTION,
    ignores: ['packages/wire/runtime.ts', 'packages/cli/**', ...TESTS],
    rules: {
      'no-restricted-properties': [
        'error',
        ...machineProperties,
        { object: 'process', property: 'exit', message: 'Throw an error instead.' },
      ],
    },
  },
  ...Object.entries(MAY_IMPORT).flatMap(([name, allowed]) => [
    {
      files: [`packages/${name}/**/*.ts`],
      ignores: TESTS,
      rules: directionRules(name, allowed),
    },
    { files: [`packages/${name}/**/*.test.ts`], rules: testDirectionRules(name, allowed) },
  ]),
  {
    // The test runner awaits the promise that test() returns.
    files: TESTS,
    rules: { '@typescript-eslint/no-floating-promises': 'off' },
  },
);
