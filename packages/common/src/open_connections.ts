/**
 * Chooses which connection of a server makes room for a new one when too many are
 * open.
 *
 * Each open connection costs memory and a descriptor, whatever it is used for. So one
 * that brought no request which was taken goes first, then one that is idle, then one
 * whose request has not arrived in full and so has not run. In each kind the one that
 * was used longest ago goes first. A request that runs keeps its connection.
 */

/** How much a connection is used, the least first. */
export type ConnectionUse = "stranger" | "idle" | "arriving" | "running";

/** Open connections of one server. */
export class OpenConnections<T> {
  readonly #max: number;
  readonly #readUse: (connection: T) => ConnectionUse;
  /** Least recently used first. */
  readonly #open = new Set<T>();

  private constructor(max: number, readUse: (connection: T) => ConnectionUse) {
    this.#max = max;
    this.#readUse = readUse;
  }

  /**
   * @param max Connections that may be open.
   * @param readUse Tells how a connection is used at present.
   */
  static create<T>(
    max: number,
    readUse: (connection: T) => ConnectionUse,
  ): OpenConnections<T> {
    return new OpenConnections(max, readUse);
  }

  /** Records that a connection was opened or used. */
  use(connection: T): void {
    this.#open.delete(connection);
    this.#open.add(connection);
  }

  /** Records that a connection has closed. */
  remove(connection: T): void {
    this.#open.delete(connection);
  }

  /**
   * Chooses the connection to close so that a new one may stay; the new one itself
   * if all others run, `undefined` while there is room.
   */
  chooseDisplaced(opened: T): T | undefined {
    if (this.#open.size <= this.#max) return undefined;
    for (const use of ["stranger", "idle", "arriving"] as const) {
      for (const connection of this.#open) {
        const isLess = connection !== opened &&
          this.#readUse(connection) === use;
        if (isLess) return connection;
      }
    }
    return opened;
  }
}
