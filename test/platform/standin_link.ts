/** A stand-in of a network link to a server on this machine that can be cut. */
import {connect, createServer, Server, Socket} from 'node:net';

const HOST = '127.0.0.1';

/** Passes connections on to a server until it is cut. */
export class StandinLink {
  port = 0;
  private readonly sockets = new Set<Socket>();
  private readonly server: Server;

  private constructor(private readonly targetPort: number) {
    this.server = createServer(socket => this.passOn(socket));
  }

  static async start(targetPort: number): Promise<StandinLink> {
    const link = new StandinLink(targetPort);
    await new Promise<void>(resolve => link.server.listen(0, HOST, resolve));
    link.port = (link.server.address() as {port: number}).port;
    return link;
  }

  /** Closes all connections and refuses new ones. */
  cut(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  /** Accepts connections again after a cut. */
  restore(): Promise<void> {
    return new Promise(resolve => this.server.listen(this.port, HOST, resolve));
  }

  private passOn(client: Socket): void {
    const target = connect({host: HOST, port: this.targetPort});
    for (const [from, to] of [
      [client, target],
      [target, client],
    ]) {
      this.sockets.add(from);
      from.on('error', () => undefined);
      from.on('close', () => {
        this.sockets.delete(from);
        to.destroy();
      });
      from.pipe(to);
    }
  }
}
