/**
 * Relays the connections that other fronts open to one front, so that a run can
 * cut or silence them. Fronts find the relay by its port in the front's entry.
 */
import {connect, createServer, Server, Socket} from 'node:net';

export class PeerProxy {
  private readonly sockets = new Set<Socket>();
  private server: Server | undefined;

  private constructor(
    private readonly host: string,
    private readonly port: number,
    private readonly targetPort: number,
  ) {}

  /** Listens on a port of the front's own address. */
  static async start(
    host: string,
    port: number,
    targetPort: number,
  ): Promise<PeerProxy> {
    const proxy = new PeerProxy(host, port, targetPort);
    proxy.server = createServer(socket => proxy.relay(socket));
    await new Promise<void>(resolve =>
      proxy.server?.listen(port, host, resolve),
    );
    return proxy;
  }

  /** Closes the connections that are open. */
  cut(): void {
    for (const socket of this.sockets) socket.destroy();
  }

  /**
   * Stops relaying on the connections that are open, for good; new ones work.
   * What was sent in the meantime is lost once they are closed.
   */
  silence(): void {
    for (const socket of this.sockets) {
      socket.unpipe();
      socket.pause();
    }
  }

  async stop(): Promise<void> {
    this.cut();
    await new Promise(resolve => this.server?.close(resolve));
  }

  private relay(incoming: Socket): void {
    const outgoing = connect({host: this.host, port: this.targetPort});
    const pairs = [
      [incoming, outgoing],
      [outgoing, incoming],
    ] as const;
    for (const [from, to] of pairs) {
      this.sockets.add(from);
      from.setNoDelay(true);
      from.pipe(to);
      from.on('error', () => undefined);
      from.on('close', () => {
        this.sockets.delete(from);
        to.destroy();
      });
    }
  }
}
