/** Time limits for promises, and pauses. */

/** Rejects if `promise` does not settle in time; does not cancel its work. */
export function withTimeout<T>(promise: Promise<T>, ms: number): Promise<T> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<never>((_, reject) => {
    timer = setTimeout(() => reject(new Error('no answer in time')), ms);
  });
  return Promise.race([promise, timeout]).finally(() => clearTimeout(timer));
}

/** Resolves after `ms`. */
export const pause = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms));
