export const benchSlopes = async (
  _say: (l: string) => void,
  _s: number,
): Promise<object> => ({_say, _s});
