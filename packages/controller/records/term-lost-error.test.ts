import assert from 'node:assert/strict';
import { test } from 'node:test';
import { TermLostError } from './term-lost-error.js';

test('a TermLostError prints its class, the term and the detail, and keeps its cause', () => {
  const cause = new Error('too large');
  const err = new TermLostError(7, 'transaction-malformed', 'too large', { cause });
  assert.equal(String(err), `${TermLostError.name}: term 7 must end: too large`);
  assert.equal(err.cause, cause);
  assert.equal(err.term, 7);
  assert.equal(err.reason, 'transaction-malformed');
});
