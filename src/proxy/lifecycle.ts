/** Releases resources in the reverse order of their creation. */

/** Releases one resource. */
export type Release = () => void | Promise<void>;

/** Owns resources and releases them on close, the latest first. */
export class Lifecycle {
  private readonly releases: Release[] = [];
  private closed: Promise<void> | undefined;

  private constructor() {}

  static create(): Lifecycle {
    return new Lifecycle();
  }

  /** Takes ownership of a resource and returns it. */
  own<T>(resource: T, release: (resource: T) => void | Promise<void>): T {
    this.releases.push(() => release(resource));
    return resource;
  }

  /** Releases all resources once; further calls return the same promise. */
  close(): Promise<void> {
    this.closed ??= this.releaseAll();
    return this.closed;
  }

  private async releaseAll(): Promise<void> {
    for (const release of this.releases.reverse()) await release();
  }
}
