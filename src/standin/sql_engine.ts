/**
 * The SQL subset of the stand-in database: tables of rows keyed by `id`, one
 * table per statement, comparisons joined by AND, OR and NOT, and arithmetic on
 * columns and parameters.
 */
import {parseSync} from 'libpg-query';
import {LRUCache} from 'lru-cache';
import {
  evaluate,
  isConditionMet,
  lastName,
  Node,
  Row,
  SqlError,
  unsupportedError,
  Value,
} from './sql_expressions.js';

export {type Node, type Row, SqlError, type Value};

/** A row that a statement inserts, updates or deletes. */
export interface Change {
  readonly table: string;
  readonly id: string;
  /** The new row; undefined if it is deleted. */
  readonly row: Row | undefined;
}

/** Result of one statement; its changes are not applied yet. */
export interface QueryResult {
  readonly columns: readonly string[];
  readonly rows: Iterable<readonly Value[]>;
  /** Command tag; its count is known before `rows` is read. */
  readonly tag: string;
  readonly changes: readonly Change[];
}

/** The rows that are visible to a statement. */
export interface RowSource {
  get(table: string, id: string): Row | undefined;
  all(table: string): Iterable<[string, Row]>;
}

const parseCache = new LRUCache<string, readonly Node[]>({max: 1_000});

/** Returns the statements of a text, from a cache if it was parsed before. */
export function parseStatements(text: string): readonly Node[] {
  const cached = parseCache.get(text);
  if (cached) return cached;
  const parsed = parse(text);
  parseCache.set(text, parsed);
  return parsed;
}

function parse(text: string): readonly Node[] {
  if (text.trim() === '') return [];
  try {
    const {stmts} = parseSync(text);
    return (stmts ?? []).map((entry: Node) => entry.stmt);
  } catch (error) {
    throw SqlError.create('42601', (error as Error).message);
  }
}

/** Returns the highest parameter number in a statement, or 0. */
export function countParameters(node: unknown): number {
  if (typeof node !== 'object' || node === null) return 0;
  const ownNumber = Number((node as Node).ParamRef?.number ?? 0);
  return Math.max(ownNumber, ...Object.values(node).map(countParameters));
}

/** Returns the value if a condition has the form `id = <value>`. */
function requestedId(
  where: Node | undefined,
  parameters: readonly Value[],
): string | undefined {
  const expr = where?.A_Expr;
  if (!expr || lastName(expr.name) !== '=') return undefined;
  if (!expr.lexpr.ColumnRef) return undefined;
  if (lastName(expr.lexpr.ColumnRef.fields) !== 'id') return undefined;
  if (expr.rexpr.ColumnRef) return undefined;
  return evaluate(expr.rexpr, {row: {}, parameters}) ?? undefined;
}

function matchingRows(
  table: string,
  where: Node | undefined,
  source: RowSource,
  parameters: readonly Value[],
): [string, Row][] {
  const id = requestedId(where, parameters);
  if (id !== undefined) {
    const row = source.get(table, id);
    return row ? [[id, row]] : [];
  }
  const rows = [...source.all(table)];
  return rows.filter(([, row]) => isConditionMet(where, {row, parameters}));
}

const createResult = (
  tag: string,
  changes: readonly Change[],
  columns: readonly string[] = [],
  rows: Iterable<readonly Value[]> = [],
): QueryResult => ({tag, changes, columns, rows});

function select(
  body: Node,
  source: RowSource,
  parameters: readonly Value[],
): QueryResult {
  const from = body.fromClause?.[0];
  const series = from?.RangeFunction;
  if (series) return selectSeries(body, series, parameters);
  const rows = selectedRows(body, source, parameters);
  const limit = body.limitCount
    ? Number(evaluate(body.limitCount, {row: {}, parameters}))
    : Infinity;
  const targets: Node[] = body.targetList ?? [];
  if (isCount(targets)) {
    return createResult('SELECT 1', [], ['count'], [[String(rows.length)]]);
  }
  const limited = rows.slice(0, limit).map(([, row]) => row);
  const columns = columnsOf(targets, limited);
  const values = limited.map(row => project(targets, row, parameters));
  return createResult(`SELECT ${values.length}`, [], columns, values);
}

function selectedRows(
  body: Node,
  source: RowSource,
  parameters: readonly Value[],
): [string, Row][] {
  const from = body.fromClause?.[0];
  if (!from) return [['', {}]];
  if (isCatalog(from)) return [];
  return matchingRows(tableOf(from), body.whereClause, source, parameters);
}

/** The system catalog is empty; clients query it after they connect. */
const isCatalog = (from: Node): boolean =>
  JSON.stringify(from).includes('"schemaname":"pg_catalog"');

function selectSeries(
  body: Node,
  series: Node,
  parameters: readonly Value[],
): QueryResult {
  const call = series.functions[0].List.items[0].FuncCall;
  const scope = {row: {}, parameters};
  const [first, last] = call.args.map((arg: Node) =>
    Number(evaluate(arg, scope)),
  );
  const targets: Node[] = body.targetList;
  const column = 'generate_series';
  function* rows(): Iterable<readonly Value[]> {
    for (let n = first; n <= last; n++) {
      yield project(targets, {[column]: String(n)}, parameters);
    }
  }
  const columns = columnsOf(targets, [{[column]: ''}]);
  return createResult(
    `SELECT ${Math.max(0, last - first + 1)}`,
    [],
    columns,
    rows(),
  );
}

const tableOf = (from: Node): string => {
  if (!from.RangeVar) throw unsupportedError('joins');
  return String(from.RangeVar.relname);
};

const isStar = (target: Node): boolean =>
  Boolean(target.ResTarget.val.ColumnRef?.fields?.[0]?.A_Star);

const isCount = (targets: readonly Node[]): boolean =>
  targets.length === 1 && targets[0].ResTarget.val.FuncCall?.agg_star === true;

function columnsOf(targets: readonly Node[], rows: readonly Row[]): string[] {
  return targets.flatMap(target => {
    if (isStar(target)) return Object.keys(rows[0] ?? {id: ''});
    const {name, val} = target.ResTarget;
    if (name) return [String(name)];
    if (val.ColumnRef) return [lastName(val.ColumnRef.fields)];
    if (val.FuncCall) return [lastName(val.FuncCall.funcname)];
    return ['?column?'];
  });
}

const project = (
  targets: readonly Node[],
  row: Row,
  parameters: readonly Value[],
): Value[] =>
  targets.flatMap(target =>
    isStar(target)
      ? Object.values(row)
      : [evaluate(target.ResTarget.val, {row, parameters})],
  );

function insert(
  body: Node,
  source: RowSource,
  parameters: readonly Value[],
): QueryResult {
  const table = String(body.relation.relname);
  const columns: string[] = (body.cols ?? []).map((col: Node) =>
    String(col.ResTarget.name),
  );
  if (columns[0] !== 'id')
    throw unsupportedError('an insert whose first column is not id');
  const lists: Node[] = body.selectStmt.SelectStmt.valuesLists ?? [];
  const changes = lists.map(list => {
    const values = list.List.items.map((item: Node) =>
      evaluate(item, {row: {}, parameters}),
    );
    const row = Object.fromEntries(columns.map((col, i) => [col, values[i]]));
    const id = String(row.id);
    if (source.get(table, id)) {
      throw SqlError.create('23505', `duplicate key ${id} in ${table}`);
    }
    return {table, id, row};
  });
  return withReturning(body, `INSERT 0 ${changes.length}`, changes, parameters);
}

function withReturning(
  body: Node,
  tag: string,
  changes: readonly Change[],
  parameters: readonly Value[],
): QueryResult {
  const targets: Node[] = body.returningList ?? [];
  if (targets.length === 0) return createResult(tag, changes);
  const rows = changes.map(change => change.row ?? {});
  const values = rows.map(row => project(targets, row, parameters));
  return createResult(tag, changes, columnsOf(targets, rows), values);
}

function update(
  body: Node,
  source: RowSource,
  parameters: readonly Value[],
): QueryResult {
  const table = String(body.relation.relname);
  const matches = matchingRows(table, body.whereClause, source, parameters);
  const changes = matches.map(([id, row]) => {
    const updated = {...row};
    for (const {ResTarget: target} of body.targetList as Node[]) {
      updated[String(target.name)] = evaluate(target.val, {row, parameters});
    }
    return {table, id, row: updated};
  });
  return withReturning(body, `UPDATE ${changes.length}`, changes, parameters);
}

function remove(
  body: Node,
  source: RowSource,
  parameters: readonly Value[],
): QueryResult {
  const table = String(body.relation.relname);
  const matches = matchingRows(table, body.whereClause, source, parameters);
  const changes = matches.map(([id]) => ({table, id, row: undefined}));
  return createResult(`DELETE ${changes.length}`, changes);
}

/** Runs a data statement on the rows of a source, without changing it. */
export function runStatement(
  node: Node,
  source: RowSource,
  parameters: readonly Value[],
): QueryResult {
  if (node.SelectStmt) return select(node.SelectStmt, source, parameters);
  if (node.InsertStmt) return insert(node.InsertStmt, source, parameters);
  if (node.UpdateStmt) return update(node.UpdateStmt, source, parameters);
  if (node.DeleteStmt) return remove(node.DeleteStmt, source, parameters);
  throw unsupportedError(Object.keys(node)[0]);
}

/** Returns the function that is the first target of a SELECT without FROM. */
export function calledFunction(
  node: Node,
  parameters: readonly Value[],
): {name: string; args: Value[]} | undefined {
  const target = node.SelectStmt?.targetList?.[0]?.ResTarget?.val;
  if (!target?.FuncCall || node.SelectStmt.fromClause) return undefined;
  const args: Node[] = target.FuncCall.args ?? [];
  return {
    name: lastName(target.FuncCall.funcname),
    args: args.map(arg => evaluate(arg, {row: {}, parameters})),
  };
}

/** Returns the result columns of a statement that has not run; may be empty. */
export function describeColumns(node: Node): readonly string[] {
  const targets: Node[] =
    node.SelectStmt?.targetList ??
    node.InsertStmt?.returningList ??
    node.UpdateStmt?.returningList ??
    [];
  return columnsOf(targets, []);
}
