/**
 * The ESLint rule `retired-words`: declared names must not contain words of the retired vocabulary.
 *
 * A name is split into words (`ownerId`, `OwnerId` and `OWNER_ID` alike), and only whole words match: the retired word
 * `part` does not match `partial`. Imported names and keys of object literals are not reported, because they are
 * declared elsewhere.
 */

const WORD = /[A-Z]+(?![a-z])|[A-Z]?[a-z]+|[0-9]+/g;

/** The words of a name in lower case, each surrounded by spaces: `fencingToken` -> ` fencing token `. */
function spacedWords(name) {
  const words = name.match(WORD) ?? [];
  return ` ${words.join(' ').toLowerCase()} `;
}

/** The retired words in a name, except for those within an allowed phrase. */
function findRetiredWords(name, retiredWords, allowedPhrases) {
  let words = spacedWords(name);
  for (const phrase of allowedPhrases) {
    words = words.replaceAll(` ${phrase} `, ' | ');
  }
  return Object.keys(retiredWords).filter((word) => words.includes(` ${word} `));
}

/** The identifiers that a pattern declares, such as `a` and `c` in `{ a, b: [c] }`. */
function identifiersOf(pattern) {
  switch (pattern?.type) {
    case 'Identifier':
      return [pattern];
    case 'ObjectPattern':
      return pattern.properties.flatMap(identifiersOf);
    case 'Property':
      return identifiersOf(pattern.value);
    case 'ArrayPattern':
      return pattern.elements.flatMap(identifiersOf);
    case 'AssignmentPattern':
      return identifiersOf(pattern.left);
    case 'RestElement':
      return identifiersOf(pattern.argument);
    case 'TSParameterProperty':
      return identifiersOf(pattern.parameter);
    default:
      return [];
  }
}

/** The name of an identifier or of a string key; undefined for any other key. */
function nameOf(node) {
  if (node.type === 'Literal') {
    return typeof node.value === 'string' ? node.value : undefined;
  }
  return node.name;
}

const schema = [
  {
    type: 'object',
    properties: {
      retiredWords: { type: 'object', additionalProperties: { type: 'string' } },
      allowedPhrases: { type: 'array', items: { type: 'string' } },
      ignoreProperties: { type: 'boolean' },
    },
    required: ['retiredWords'],
    additionalProperties: false,
  },
];

/** Creates the rule's visitor. The option `ignoreProperties` exempts properties of interfaces and type literals. */
function create(context) {
  const { retiredWords, allowedPhrases = [], ignoreProperties = false } = context.options[0];

  function checkName(node) {
    const name = nameOf(node);
    if (name === undefined) {
      return;
    }
    for (const word of findRetiredWords(name, retiredWords, allowedPhrases)) {
      const data = { name, word, term: retiredWords[word] };
      context.report({ node, messageId: 'retired', data });
    }
  }

  function checkPatterns(patterns) {
    patterns.flatMap(identifiersOf).forEach(checkName);
  }

  function checkId(node) {
    if (node.id) {
      checkName(node.id);
    }
  }

  function checkKey(node) {
    if (!node.computed) {
      checkName(node.key);
    }
  }

  function checkFunction(node) {
    checkId(node);
    checkPatterns(node.params);
  }

  return {
    VariableDeclarator: (node) => checkPatterns([node.id]),
    CatchClause: (node) => checkPatterns([node.param]),
    ':function': checkFunction,
    'TSDeclareFunction, TSEmptyBodyFunctionExpression': checkFunction,
    'TSFunctionType, TSConstructorType': checkFunction,
    'TSCallSignatureDeclaration, TSConstructSignatureDeclaration': checkFunction,
    'ClassDeclaration, ClassExpression': checkId,
    'TSInterfaceDeclaration, TSTypeAliasDeclaration, TSEnumDeclaration, TSEnumMember': checkId,
    TSTypeParameter: (node) => checkName(node.name),
    TSMappedType: (node) => checkName(node.key),
    TSNamedTupleMember: (node) => checkName(node.label),
    TSIndexSignature: (node) => checkPatterns(node.parameters),
    'PropertyDefinition, MethodDefinition, AccessorProperty': checkKey,
    'TSAbstractPropertyDefinition, TSAbstractMethodDefinition, TSAbstractAccessorProperty':
      checkKey,
    TSPropertySignature: (node) => ignoreProperties || checkKey(node),
    TSMethodSignature: (node) => {
      checkKey(node);
      checkPatterns(node.params);
    },
  };
}

export default {
  meta: {
    type: 'suggestion',
    docs: { description: 'Forbid retired words in declared names' },
    schema,
    messages: { retired: "`{{name}}`: use '{{term}}' for '{{word}}' (docs/glossary.md)" },
  },
  create,
};
