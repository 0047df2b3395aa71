/** Loopback networks, so that runs on one machine have different addresses. */
import {createServer, Server} from 'node:net';

const NETWORKS = 250;
/** Port on which a run listens while it uses a network. */
const CLAIM_PORT = 7_500;

/** A network that no other run uses until it is released. */
export class Network {
  private constructor(
    /** Second part of the network's addresses. */
    readonly number: number,
    private readonly server: Server,
  ) {}

  static async claim(): Promise<Network> {
    for (let tried = 0; tried < NETWORKS; tried++) {
      const number = 1 + ((process.pid + tried) % NETWORKS);
      const server = createServer();
      const isClaimed = await new Promise<boolean>(resolve => {
        server.once('error', () => resolve(false));
        server.listen(CLAIM_PORT, `127.${number}.0.1`, () => resolve(true));
      });
      if (isClaimed) return new Network(number, server);
    }
    throw new Error('all loopback networks are in use');
  }

  async release(): Promise<void> {
    await new Promise(resolve => this.server.close(resolve));
  }
}
