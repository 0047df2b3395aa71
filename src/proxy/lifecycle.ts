/** Owns what has to be cleaned up, and cleans up in reverse order. */

/** Releases one resource. */
export type Release = () => void | Promise<void>;

/** A life-cycle manager. */
export class Lifecycle {
  private readonly releases: Release[] = [];
  private closed: Promise<void> | undefined;

  private constructor() {}

  static create(): Lifecycle {
    return new Lifecycle();
  }

  /** Takes ownership of a resource and hands it back. */
  own<T>(resource: T, release: (resource: T) => void | Promise<void>): T {
    this.releases.push(() => release(resource));
    return resource;
  }

  /** Releases everything once; further calls wait for the same end. */
  close(): Promise<void> {
    this.closed ??= this.releaseAll();
    return this.closed;
  }

  private async releaseAll(): Promise<void> {
    for (const release of this.releases.reverse()) await release();
  }
}
