import tseslint from 'typescript-eslint';

export default tseslint.config(
  { ignores: ['target/**', 'node_modules/**', 'journal/**'] },
  ...tseslint.configs.recommended,
  {
    files: ['packages/**/*.ts'],
    languageOptions: { parserOptions: { projectService: true } },
    rules: {
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/no-misused-promises': 'error',
      eqeqeq: 'error',
    },
  },
  {
    // The test runner itself waits for what test() returns.
    files: ['packages/**/*.test.ts'],
    rules: { '@typescript-eslint/no-floating-promises': 'off' },
  },
);
