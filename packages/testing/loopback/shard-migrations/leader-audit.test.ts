import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LeaderAudit } from './leader-audit.js';

function auditOfTwoTerms(): LeaderAudit {
  const audit = new LeaderAudit();
  audit.addRecordedLeader('c-0', 5);
  audit.addObeyedAnswer('n-1', 'c-0', 5);
  // The fencing token of a machine may be a revision later in the term.
  audit.addObeyedAnswer('n-1', 'c-0', 7);
  audit.addRecordedLeader('c-1', 9);
  audit.addObeyedAnswer('n-2', 'c-0', 5);
  audit.addObeyedAnswer('n-1', 'c-1', 9);
  return audit;
}

test('successive leaders are no breach, although each machine follows the new leader at its own time', () => {
  const audit = auditOfTwoTerms();
  assert.deepEqual(audit.breaches, []);
  assert.equal(audit.obeyedAnswers, 4);
});

test('each kind of breach is detected', () => {
  const kindsAfter = (breach: (audit: LeaderAudit) => void) => {
    const audit = auditOfTwoTerms();
    breach(audit);
    return audit.breaches.map(({ kind }) => kind);
  };
  assert.deepEqual(
    kindsAfter((audit) => audit.addRecordedLeader('c-2', 9)),
    ['two-owners'],
  );
  assert.deepEqual(
    kindsAfter((audit) => audit.addObeyedAnswer('n-2', 'c-0', 9)),
    ['foreign-owner'],
  );
  assert.deepEqual(
    kindsAfter((audit) => audit.addObeyedAnswer('n-1', 'c-0', 7)),
    ['older-owner'],
  );
  assert.deepEqual(
    kindsAfter((audit) => audit.addObeyedAnswer('n-3', 'c-2', 3)),
    ['foreign-owner'],
  );
});
