/** Time limits on promises. */

/** Fails when `promise` has not settled in time; the work itself goes on. */
export function withTimeout<T>(promise: Promise<T>, ms: number): Promise<T> {
  let timer: NodeJS.Timeout | undefined;
  const late = new Promise<never>((_, reject) => {
    timer = setTimeout(() => reject(new Error('no answer in time')), ms);
  });
  return Promise.race([promise, late]).finally(() => clearTimeout(timer));
}
