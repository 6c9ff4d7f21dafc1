import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseControllerArguments } from './settings-files.js';

test('the arguments of a controller are parsed in any order', () => {
  const both = { config: 'a.toml', operator: 'b.json' };
  assert.deepEqual(parseControllerArguments(['--config', 'a.toml', '--operator', 'b.json']), both);
  assert.deepEqual(parseControllerArguments(['--operator', 'b.json', '--config', 'a.toml']), both);
  const configOnly = { config: 'a.toml', operator: undefined };
  assert.deepEqual(parseControllerArguments(['--config', 'a.toml']), configOnly);
});

test('all other arguments give null, so that commander parses them', () => {
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
    assert.equal(parseControllerArguments(args), null, line);
  }
});
