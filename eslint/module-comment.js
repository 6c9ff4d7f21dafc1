/**
 * The ESLint rule `module-comment`: every module begins with a doc comment that states its purpose.
 *
 * The comment needs no JSDoc tag. A module that doesn't begin with an import or a re-export needs two doc comments,
 * since the last one before a declaration describes that declaration.
 */

const IMPORTS = new Set(['ImportDeclaration', 'ExportAllDeclaration']);

/** Whether a statement is an import or a re-export, so that a doc comment before it describes the module. */
function namesOtherModule(statement) {
  return IMPORTS.has(statement.type) || Boolean(statement.source);
}

function isDocComment(comment) {
  return comment.type === 'Block' && comment.value.startsWith('*');
}

function create(context) {
  return {
    Program(program) {
      const [first] = program.body;
      if (first === undefined) {
        return;
      }
      const comments = context.sourceCode.getCommentsBefore(first).filter(isDocComment);
      if (comments.length < (namesOtherModule(first) ? 1 : 2)) {
        context.report({ loc: { line: 1, column: 0 }, messageId: 'missing' });
      }
    },
  };
}

export default {
  meta: {
    type: 'suggestion',
    docs: { description: 'Require a doc comment at the head of each module' },
    schema: [],
    messages: { missing: 'Begin the module with a doc comment that states its purpose.' },
  },
  create,
};
