/**
 * Classifies SQL text with PostgreSQL's own parser. A statement is a read only
 * if every node of its parse tree is known to be free of side effects; anything
 * unknown counts as a write. Statements that would leave session state on a
 * pooled connection are rejected.
 */
import {LRUCache} from 'lru-cache';
import {
  BUILTIN_OPERATORS,
  BUILTIN_TYPES,
  PURE_FUNCTIONS,
  PURE_NODES,
  SESSION_FUNCTIONS,
} from './sql_catalog.js';

/** The class of a statement, which decides its routing. */
export type Statement =
  | {readonly kind: 'read'}
  | {readonly kind: 'write'}
  | {readonly kind: 'begin'; readonly readOnly: boolean}
  /** `commits` is false for a rollback. */
  | {readonly kind: 'end'; readonly commits: boolean}
  | {readonly kind: 'set'; readonly name: string; readonly value: string}
  | {readonly kind: 'show'; readonly name: string}
  | {readonly kind: 'discard'}
  | {readonly kind: 'refused'; readonly reason: string}
  /** Not parseable here; the database reports the error. */
  | {readonly kind: 'invalid'};

/** A node of the parse tree; its single key is the node's type. */
type Tree = Record<string, unknown>;

/** Parses SQL text; throws on a syntax error. */
export type ParseSql = (text: string) => {stmts?: Tree[]};

/** Classifies SQL text into its statements. */
export type Classify = (text: string) => readonly Statement[];

const READ: Statement = {kind: 'read'};
const WRITE: Statement = {kind: 'write'};
const refused = (reason: string): Statement => ({kind: 'refused', reason});

const CURSOR_WITH_HOLD = 0x20;

/** Settings that common clients send; the proxy accepts and ignores them. */
const IGNORED_SETTINGS = new Set([
  'application_name',
  'extra_float_digits',
  'client_min_messages',
]);

const CLIENT_ENCODING = 'client_encoding';

/** Names of UTF-8, without the characters that PostgreSQL ignores in them. */
const UTF8_NAMES = new Set(['utf8', 'unicode']);

/**
 * Settings with which the database would split a text into other statements
 * than the parser here.
 */
const LEXER_SETTINGS = new Set([
  CLIENT_ENCODING,
  'standard_conforming_strings',
  'backslash_quote',
]);

/**
 * Whether a client encoding is UTF-8, the only one in which texts are read here
 * and by the database. An empty name stands for the default.
 */
export const isUtf8Name = (name: string): boolean =>
  name === '' || UTF8_NAMES.has(name.toLowerCase().replace(/[^a-z0-9]/g, ''));

/** Prefix of the proxy's own session settings. */
export const SETTING_PREFIX = 'mustardpass.';

/** Creates a classifier with an LRU cache by text. */
export function createClassifier(
  parse: ParseSql,
  options: {cacheEntries: number; cachedTextBytes: number},
): Classify {
  const cache = new LRUCache<string, readonly Statement[]>({
    max: options.cacheEntries,
  });
  return text => {
    const known = cache.get(text);
    if (known) return known;
    const statements = classifyText(parse, text);
    if (text.length <= options.cachedTextBytes) cache.set(text, statements);
    return statements;
  };
}

function classifyText(parse: ParseSql, text: string): readonly Statement[] {
  if (text.trim() === '') return [READ];
  try {
    const statements = parse(text).stmts ?? [];
    return statements.map(entry => classifyNode(entry.stmt as Tree));
  } catch {
    return [{kind: 'invalid'}];
  }
}

function classifyNode(node: Tree): Statement {
  const type = Object.keys(node)[0];
  const body = node[type] as Tree;
  const classifier = CLASSIFIERS[type];
  const statement = classifier ? classifier(body) : WRITE;
  if (statement.kind === 'refused') return statement;
  const sessionState = findSessionState(node);
  return sessionState ? refused(sessionState) : statement;
}

const CLASSIFIERS: Record<string, ((body: Tree) => Statement) | undefined> = {
  SelectStmt: body => (isPure({SelectStmt: body}) ? READ : WRITE),
  ExplainStmt: body => (isPure(body.query) ? READ : WRITE),
  TransactionStmt: classifyTransaction,
  VariableSetStmt: classifySet,
  VariableShowStmt: body => classifyShow(String(body.name)),
  DiscardStmt: () => ({kind: 'discard'}),
  ListenStmt: () => refused('LISTEN needs a connection of its own'),
  UnlistenStmt: () => refused('UNLISTEN needs a connection of its own'),
  PrepareStmt: () =>
    refused('PREPARE is per connection; use protocol-level statements'),
  ExecuteStmt: () =>
    refused('EXECUTE is per connection; use protocol-level statements'),
  DeallocateStmt: () =>
    refused('DEALLOCATE is per connection; use protocol-level statements'),
  LoadStmt: () => refused('LOAD changes connection state'),
  CopyStmt: () => refused('COPY is not supported'),
  DoStmt: () => refused('DO may change connection state'),
  DeclareCursorStmt: body =>
    (Number(body.options ?? 0) & CURSOR_WITH_HOLD) !== 0
      ? refused('a cursor WITH HOLD outlives its transaction')
      : WRITE,
};

function classifyTransaction(body: Tree): Statement {
  switch (body.kind) {
    case 'TRANS_STMT_BEGIN':
    case 'TRANS_STMT_START':
      return {kind: 'begin', readOnly: isReadOnly(body)};
    case 'TRANS_STMT_COMMIT':
    case 'TRANS_STMT_ROLLBACK':
      return body.chain
        ? WRITE
        : {kind: 'end', commits: body.kind === 'TRANS_STMT_COMMIT'};
    case 'TRANS_STMT_PREPARE':
    case 'TRANS_STMT_COMMIT_PREPARED':
    case 'TRANS_STMT_ROLLBACK_PREPARED':
      return refused('two-phase transactions are not supported');
    default:
      return WRITE;
  }
}

function isReadOnly(body: Tree): boolean {
  const options = (body.options ?? []) as {DefElem: Tree}[];
  return options.some(
    ({DefElem: option}) =>
      option.defname === 'transaction_read_only' &&
      constantOf(option.arg) === '1',
  );
}

function classifySet(body: Tree): Statement {
  const name = String(body.name ?? '').toLowerCase();
  if (name.startsWith(SETTING_PREFIX)) {
    const args = (body.args ?? []) as Tree[];
    return {kind: 'set', name, value: args.map(constantOf).join(',')};
  }
  if (LEXER_SETTINGS.has(name)) return classifyLexerSetting(name, body);
  if (body.is_local || body.kind === 'VAR_SET_MULTI') return WRITE;
  if (IGNORED_SETTINGS.has(name)) return {kind: 'set', name, value: ''};
  if (body.kind === 'VAR_RESET_ALL') return {kind: 'discard'};
  return refused(
    `SET ${name} would outlive the request on a shared connection; use SET LOCAL`,
  );
}

function classifyLexerSetting(name: string, body: Tree): Statement {
  const value = ((body.args ?? []) as Tree[]).map(constantOf).join(',');
  if (name === CLIENT_ENCODING && isUtf8Name(value))
    return {kind: 'set', name, value: ''};
  return refused(`SET ${name} would change how statements are read`);
}

const classifyShow = (name: string): Statement =>
  name.startsWith(SETTING_PREFIX) ? {kind: 'show', name} : READ;

/** Returns the text of a constant node; empty for other nodes. */
function constantOf(node: unknown): string {
  const constant = (node as Tree | undefined)?.A_Const as Tree | undefined;
  if (!constant) return '';
  const value = (constant.sval ??
    constant.ival ??
    constant.fval ??
    constant.boolval ??
    {}) as Tree;
  if ('ival' in constant) return String(value.ival ?? 0);
  if ('boolval' in constant) return String(value.boolval ?? false);
  return String(value.sval ?? value.fval ?? '');
}

const nameParts = (names: unknown): string[] =>
  ((names ?? []) as {String?: {sval?: string}}[]).map(part =>
    String(part.String?.sval ?? ''),
  );

/** Returns an unqualified or `pg_catalog` name; undefined for other schemas. */
function builtinName(names: unknown): string | undefined {
  const parts = nameParts(names);
  const qualified = parts.length > 1 && parts[0] !== 'pg_catalog';
  return qualified ? undefined : parts[parts.length - 1];
}

const isNodeName = (key: string): boolean => /^[A-Z]/.test(key);

/** Whether all nodes of a tree are known to be free of side effects. */
function isPure(value: unknown): boolean {
  if (Array.isArray(value)) return value.every(isPure);
  if (typeof value !== 'object' || value === null) return true;
  return Object.entries(value).every(
    ([key, child]) =>
      (isNodeName(key) ? isPureNode(key, child as Tree) : true) &&
      isPure(child),
  );
}

function isPureNode(type: string, body: Tree): boolean {
  if (!PURE_NODES.has(type)) return false;
  switch (type) {
    case 'SelectStmt':
      return !body.intoClause && !body.lockingClause;
    case 'FuncCall':
      return PURE_FUNCTIONS.has(builtinName(body.funcname) ?? '');
    case 'A_Expr':
      return BUILTIN_OPERATORS.has(builtinName(body.name) ?? '');
    case 'TypeCast':
      return BUILTIN_TYPES.has(
        builtinName((body.typeName as Tree | undefined)?.names) ?? '',
      );
    default:
      return true;
  }
}

/** Returns why a tree would leave state on a pooled connection, if it would. */
function findSessionState(value: unknown): string | undefined {
  if (Array.isArray(value)) {
    return value.map(findSessionState).find(found => found !== undefined);
  }
  if (typeof value !== 'object' || value === null) return undefined;
  const tree = value as Tree;
  if (tree.relpersistence === 't') return 'temporary tables are not supported';
  const call = builtinName(tree.funcname);
  if (call !== undefined && SESSION_FUNCTIONS.has(call)) {
    return `${call}() keeps state on the connection`;
  }
  return Object.values(tree)
    .map(findSessionState)
    .find(found => found !== undefined);
}
