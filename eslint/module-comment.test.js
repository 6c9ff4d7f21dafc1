/** Tests of the rule `module-comment`: which modules it accepts and which it reports. */
import { test } from 'node:test';
import { RuleTester } from 'eslint';
import tseslint from 'typescript-eslint';
import moduleComment from './module-comment.js';

RuleTester.describe = (title, run) => run();
RuleTester.it = test;
RuleTester.itOnly = test.only;

const tester = new RuleTester({ languageOptions: { parser: tseslint.parser } });
const errors = [{ messageId: 'missing' }];

tester.run('module-comment', moduleComment, {
  valid: [
    "/** Leases. */\nimport { a } from './a.js';",
    "/** Leases. */\nexport * from './a.js';",
    "/** Leases. */\nexport { a } from './a.js';",
    '#!/usr/bin/env node\n/** Leases. */\n\n/** One. */\nexport const a = 1;',
  ],
  invalid: [
    { code: "import { a } from './a.js';", errors },
    { code: "// Leases.\nimport { a } from './a.js';", errors },
    { code: "/* Leases. */\nexport * from './a.js';", errors },
    { code: '/** One. */\nexport const a = 1;', errors },
    { code: "import { a } from './a.js';\n/** Leases. */\nimport { b } from './b.js';", errors },
  ],
});
