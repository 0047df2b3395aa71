/** Evaluates the SQL expressions and conditions of the stand-in database. */

/** A node of libpg-query's parse tree. */
export type Node = Record<string, any>; // eslint-disable-line @typescript-eslint/no-explicit-any

/** A value in PostgreSQL's text format, or null. */
export type Value = string | null;
export type Row = Record<string, Value>;

/** An error that the client receives with its SQLSTATE. */
export class SqlError extends Error {
  private constructor(
    readonly sqlState: string,
    message: string,
  ) {
    super(message);
  }

  static create(sqlState: string, message: string): SqlError {
    return new SqlError(sqlState, message);
  }
}

/** The row and the parameters that an expression can refer to. */
export interface EvaluationScope {
  readonly row: Row;
  readonly parameters: readonly Value[];
}

/** Returns the error for SQL that the stand-in does not support. */
export const unsupportedError = (what: string): SqlError =>
  SqlError.create('0A000', `the stand-in does not support ${what}`);

/** Returns the last part of a qualified name. */
export const lastName = (names: Node[]): string =>
  String(names[names.length - 1]?.String?.sval ?? '');

/** Returns the value of an expression. */
export function evaluate(node: Node, scope: EvaluationScope): Value {
  if (node.A_Const) return constantValue(node.A_Const);
  if (node.ParamRef) return scope.parameters[node.ParamRef.number - 1] ?? null;
  if (node.ColumnRef) return scope.row[lastName(node.ColumnRef.fields)] ?? null;
  if (node.TypeCast) return evaluate(node.TypeCast.arg, scope);
  if (node.A_Expr) return evaluateOperator(node.A_Expr, scope);
  if (node.SQLValueFunction) return new Date().toISOString();
  if (node.FuncCall) return callScalar(node.FuncCall, scope);
  throw unsupportedError(Object.keys(node)[0]);
}

function constantValue(node: Node): Value {
  if (node.isnull) return null;
  if (node.ival) return String(node.ival.ival ?? 0);
  if (node.fval) return String(node.fval.fval);
  if (node.boolval) return node.boolval.boolval ? 't' : 'f';
  return String(node.sval?.sval ?? '');
}

function callScalar(node: Node, scope: EvaluationScope): Value {
  const name = lastName(node.funcname);
  const args = (node.args ?? []).map((arg: Node) => evaluate(arg, scope));
  switch (name) {
    case 'now':
      return new Date().toISOString();
    case 'version':
      return 'stand-in';
    case 'lower':
      return args[0]?.toLowerCase() ?? null;
    case 'repeat':
      return String(args[0]).repeat(Number(args[1]));
    case 'pg_sleep':
      return '';
    default:
      throw unsupportedError(`${name}()`);
  }
}

function evaluateOperator(node: Node, scope: EvaluationScope): Value {
  const left = evaluate(node.lexpr, scope);
  const right = evaluate(node.rexpr, scope);
  if (left === null || right === null) return null;
  switch (lastName(node.name)) {
    case '+':
      return String(Number(left) + Number(right));
    case '-':
      return String(Number(left) - Number(right));
    case '*':
      return String(Number(left) * Number(right));
    case '||':
      return left + right;
    default:
      return compare(lastName(node.name), left, right) ? 't' : 'f';
  }
}

function compare(operator: string, left: string, right: string): boolean {
  const isNumeric =
    left !== '' && right !== '' && !isNaN(+left) && !isNaN(+right);
  const order = isNumeric
    ? +left - +right
    : left < right
      ? -1
      : +(left > right);
  switch (operator) {
    case '=':
      return order === 0;
    case '<>':
      return order !== 0;
    case '<':
      return order < 0;
    case '>':
      return order > 0;
    case '<=':
      return order <= 0;
    case '>=':
      return order >= 0;
    default:
      throw unsupportedError(`operator ${operator}`);
  }
}

/** Whether a condition is true, or absent; null counts as false. */
export function isConditionMet(
  where: Node | undefined,
  scope: EvaluationScope,
): boolean {
  if (!where) return true;
  if (where.BoolExpr) {
    const parts = where.BoolExpr.args.map((arg: Node) =>
      isConditionMet(arg, scope),
    );
    if (where.BoolExpr.boolop === 'NOT_EXPR') return !parts[0];
    return where.BoolExpr.boolop === 'OR_EXPR'
      ? parts.some(Boolean)
      : parts.every(Boolean);
  }
  return evaluate(where, scope) === 't';
}
