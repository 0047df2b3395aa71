/**
 * Relays the connections that other fronts open to one front, so that a run can
 * cut or silence them. Fronts find the relay by its port in the front's entry,
 * each at an address of its own.
 */
import {connect, createServer, Server, Socket} from 'node:net';

export class PeerProxy {
  /** Open connections, and the address that each was opened to. */
  private readonly sockets = new Map<Socket, string>();
  private readonly silentHosts = new Set<string>();
  private readonly servers: Server[] = [];

  private constructor(
    private readonly targetHost: string,
    private readonly targetPort: number,
  ) {}

  /** Listens on a port of several addresses; `targetHost` is the front's. */
  static async start(
    hosts: readonly string[],
    port: number,
    targetHost: string,
    targetPort: number,
  ): Promise<PeerProxy> {
    const proxy = new PeerProxy(targetHost, targetPort);
    for (const host of hosts) {
      const server = createServer(socket => proxy.relay(socket));
      await new Promise<void>(resolve => server.listen(port, host, resolve));
      proxy.servers.push(server);
    }
    return proxy;
  }

  /** Relays nothing at an address, not on new connections either. */
  silenceHost(host: string): void {
    this.silentHosts.add(host);
    for (const [socket, openedTo] of this.sockets) {
      if (openedTo !== host) continue;
      socket.unpipe();
      socket.pause();
    }
  }

  /** Ends `silenceHost`; connections that were silent are closed. */
  restoreHost(host: string): void {
    this.silentHosts.delete(host);
    for (const [socket, openedTo] of this.sockets)
      if (openedTo === host) socket.destroy();
  }

  /** Closes the connections that are open. */
  cut(): void {
    for (const socket of this.sockets.keys()) socket.destroy();
  }

  /**
   * Stops relaying on the connections that are open, for good; new ones work.
   * What was sent in the meantime is lost once they are closed.
   */
  silence(): void {
    for (const socket of this.sockets.keys()) {
      socket.unpipe();
      socket.pause();
    }
  }

  async stop(): Promise<void> {
    this.cut();
    await Promise.all(
      this.servers.map(server => new Promise(resolve => server.close(resolve))),
    );
  }

  private relay(incoming: Socket): void {
    const openedTo = String(incoming.localAddress);
    if (this.silentHosts.has(openedTo)) {
      this.sockets.set(incoming, openedTo);
      incoming.on('error', () => undefined);
      incoming.on('close', () => this.sockets.delete(incoming));
      return;
    }
    const {targetHost, targetPort} = this;
    const outgoing = connect({host: targetHost, port: targetPort});
    const pairs = [
      [incoming, outgoing],
      [outgoing, incoming],
    ] as const;
    for (const [from, to] of pairs) {
      this.sockets.set(from, openedTo);
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
