import assert from 'node:assert/strict';
import { test } from 'node:test';
import { controllerFiles } from './settings-files.js';

test('plain arguments of a controller are read in any order', () => {
  const both = { config: 'a.toml', operator: 'b.json' };
  assert.deepEqual(controllerFiles(['--config', 'a.toml', '--operator', 'b.json']), both);
  assert.deepEqual(controllerFiles(['--operator', 'b.json', '--config', 'a.toml']), both);
  const alone = { config: 'a.toml', operator: undefined };
  assert.deepEqual(controllerFiles(['--config', 'a.toml']), alone);
});

test('all other arguments are left to the commands', () => {
  const others = [
    '',
    'status j-1',
    '--version',
    '--config',
    '--config --help',
    '--config=a.toml',
    '--operator b.json',
    '--config a.toml --operator',
    '--config a.toml --verbose yes',
    '--config a.toml --help',
  ];
  for (const line of others) {
    const args = line === '' ? [] : line.split(' ');
    assert.equal(controllerFiles(args), null, line);
  }
});
