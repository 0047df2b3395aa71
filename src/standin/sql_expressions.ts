/** Values and expressions of the stand-in's SQL. */

/** A parse-tree node. */
export type Node = Record<string, any>; // eslint-disable-line @typescript-eslint/no-explicit-any

export type Value = string | null;
export type Row = Record<string, Value>;

/** An error with its SQLSTATE. */
export class SqlFailure extends Error {
  private constructor(
    readonly sqlState: string,
    message: string,
  ) {
    super(message);
  }

  static create(sqlState: string, message: string): SqlFailure {
    return new SqlFailure(sqlState, message);
  }
}

/** Everything an expression may refer to. */
export interface EvaluationScope {
  readonly row: Row;
  readonly parameters: readonly Value[];
}

/** The failure for what the stand-in lacks. */
export const unsupportedError = (what: string): SqlFailure =>
  SqlFailure.create('0A000', `the stand-in does not support ${what}`);

/** The last part of a qualified name. */
export const lastName = (names: Node[]): string =>
  String(names[names.length - 1]?.String?.sval ?? '');

/** The value of an expression. */
export function evaluate(node: Node, scope: EvaluationScope): Value {
  if (node.A_Const) return constant(node.A_Const);
  if (node.ParamRef) return scope.parameters[node.ParamRef.number - 1] ?? null;
  if (node.ColumnRef) return scope.row[lastName(node.ColumnRef.fields)] ?? null;
  if (node.TypeCast) return evaluate(node.TypeCast.arg, scope);
  if (node.A_Expr) return operate(node.A_Expr, scope);
  if (node.SQLValueFunction) return new Date().toISOString();
  if (node.FuncCall) return callScalar(node.FuncCall, scope);
  throw unsupportedError(Object.keys(node)[0]);
}

function constant(node: Node): Value {
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

function operate(node: Node, scope: EvaluationScope): Value {
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
  const numeric =
    left !== '' && right !== '' && !isNaN(+left) && !isNaN(+right);
  const order = numeric ? +left - +right : left < right ? -1 : +(left > right);
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

/** Whether a condition is met. */
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
