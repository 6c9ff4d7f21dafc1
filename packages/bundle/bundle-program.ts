/** Bundles the compiled program with all its libraries into one file. */
import { build, type BuildOptions } from 'esbuild';
import { fileURLToPath } from 'node:url';
import { replacements } from './replacements.js';
import { compiledSchemas } from './schema-checks.js';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));

/** The ES modules of rxjs, from which esbuild drops unused code; the CommonJS modules were a fifth of the program. */
const RXJS = './node_modules/rxjs/dist/esm/index.js';

const OPTIONS: BuildOptions = {
  absWorkingDir: ROOT,
  entryPoints: ['target/cli/main.js'],
  outfile: 'target/bin/sorreldale.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifyWhitespace: true,
  minifySyntax: true,
  logLevel: 'warning',
  alias: { rxjs: RXJS },
  plugins: [compiledSchemas, replacements],
  define: { 'import.meta.url': 'bundleUrl' },
  banner: { js: "const bundleUrl=require('node:url').pathToFileURL(__filename).href;" },
};

/** Writes target/bin/sorreldale.cjs; rejects if esbuild reports an error. */
export async function bundleProgram(): Promise<void> {
  await build(OPTIONS);
}
