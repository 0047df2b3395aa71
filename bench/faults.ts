export const benchFaults = async (_say: (l: string) => void, _s: number): Promise<object> => ({_say, _s});
