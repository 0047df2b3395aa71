/** Checks of values that were decoded from bytes of others. */

/** A decoded object whose fields have not been checked. */
export type UncheckedObject = Readonly<Record<string, unknown>>;

export const isObject = (value: unknown): value is UncheckedObject =>
  typeof value === 'object' && value !== null;

export const isText = (value: unknown): value is string =>
  typeof value === 'string';

/** Whether a value is a whole number of 0 or more. */
export const isCount = (value: unknown): value is number =>
  Number.isSafeInteger(value) && Number(value) >= 0;

/** Whether a value is a number of 0 or more, and at most `max`. */
export const isAmount = (
  value: unknown,
  max = Number.MAX_VALUE,
): value is number => typeof value === 'number' && value >= 0 && value <= max;

/** Whether a value is absent or passes a check. */
export const isOptional = <T>(
  value: unknown,
  check: (present: unknown) => present is T,
): value is T | undefined => value === undefined || check(value);

/** Returns a check for the values of a constant object. */
export function isOneOf<T extends string>(
  values: Readonly<Record<string, T>>,
): (value: unknown) => value is T {
  const known = new Set<unknown>(Object.values(values));
  return (value): value is T => known.has(value);
}
