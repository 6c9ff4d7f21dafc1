/** Tests of the rule `retired-words`: which declarations it reports and which it accepts. */
import { test } from 'node:test';
import { RuleTester } from 'eslint';
import tseslint from 'typescript-eslint';
import retiredWords from './retired-words.js';

RuleTester.describe = (title, run) => run();
RuleTester.it = test;
RuleTester.itOnly = test.only;

const tester = new RuleTester({ languageOptions: { parser: tseslint.parser } });

const WORDS = {
  retiredWords: { owner: 'leader', token: 'fencingToken', 'hand over': 'transfer' },
  allowedPhrases: ['fencing token'],
};

/** An invalid test case: the rule must report `name`, which contains the retired word `owner`. */
function reportsOwner(code, name) {
  const message = `\`${name}\`: use 'leader' for 'owner' (docs/glossary.md)`;
  return { code, options: [WORDS], errors: [{ message }] };
}

function accepts(code, extraOptions = {}) {
  return { code, options: [{ ...WORDS, ...extraOptions }] };
}

tester.run('retired-words', retiredWords, {
  valid: [
    accepts('const homeowner = 1;'),
    accepts('const fencingToken = 1;'),
    accepts("import { owner } from './records.js';"),
    accepts('const record = { owner: 1 };'),
    accepts('const { owner: leader } = record;'),
    accepts('class Leader { [owner] = 1; }'),
    accepts('interface LeaderRecord { owner: string }', { ignoreProperties: true }),
  ],
  invalid: [
    reportsOwner('const ownerId = 1;', 'ownerId'),
    reportsOwner('const LAST_OWNER = 1;', 'LAST_OWNER'),
    reportsOwner('const HTTPOwner2 = 1;', 'HTTPOwner2'),
    reportsOwner('const { owner } = record;', 'owner'),
    reportsOwner('const [, ...{ a: owner = 1 }] = list;', 'owner'),
    reportsOwner('for (const owner of list) {}', 'owner'),
    reportsOwner('try {} catch (owner) {}', 'owner'),
    reportsOwner('function findOwner() {}', 'findOwner'),
    reportsOwner('function find(owner = 1) {}', 'owner'),
    reportsOwner('list.map((owner) => 1);', 'owner'),
    reportsOwner('type Find = (owner: string) => void;', 'owner'),
    reportsOwner('type Owner = string;', 'Owner'),
    reportsOwner('type Box<Owner> = 1;', 'Owner'),
    reportsOwner('type Index = { [owner: string]: number };', 'owner'),
    reportsOwner('type Pair = [owner: string, id: string];', 'owner'),
    reportsOwner('type Row = { owner: string };', 'owner'),
    reportsOwner("type Row = { 'last-owner': string };", 'last-owner'),
    reportsOwner('interface OwnerRow {}', 'OwnerRow'),
    reportsOwner('interface Row { findOwner(): void }', 'findOwner'),
    reportsOwner('interface Row { find(owner: string): void }', 'owner'),
    reportsOwner('enum State { Owner }', 'Owner'),
    reportsOwner('enum OwnerState { Idle }', 'OwnerState'),
    reportsOwner('class OwnerList {}', 'OwnerList'),
    reportsOwner('class List { #owner = 1; }', 'owner'),
    reportsOwner('class List { get owner() { return 1; } }', 'owner'),
    reportsOwner('class List { constructor(private owner: string) {} }', 'owner'),
    reportsOwner('abstract class List { abstract findOwner(): void; }', 'findOwner'),
    reportsOwner('declare function find(owner: string): void;', 'owner'),
    {
      ...reportsOwner('interface OwnerRecord { owner: string }', 'OwnerRecord'),
      options: [{ ...WORDS, ignoreProperties: true }],
    },
    {
      code: 'const handOverToken = 1;',
      options: [WORDS],
      errors: [
        { message: "`handOverToken`: use 'fencingToken' for 'token' (docs/glossary.md)" },
        { message: "`handOverToken`: use 'transfer' for 'hand over' (docs/glossary.md)" },
      ],
    },
  ],
});
