/**
 * Reads an accepted connection in parts, when it is its turn.
 *
 * The bytes of a socket pass through `push` from the kernel to its listeners. They are
 * held there, and the kernel is asked for no more while some are: the rest then waits
 * with the sender. Node's HTTP server would read from the kernel by itself; it leaves
 * that to the socket once somebody listens to its data.
 */

import type { Socket } from "node:net";
import type { PartOutcome, ReadSource, ReadTurn } from "./read_turns.ts";

/** Size of a part: small chunks in it take about a millisecond. */
const partBytes = 8_192;

type Mode =
  | "reading"
  /** Its last answer is on its way, and nothing more is read. */
  | "stopped"
  /** That answer has left, and what still arrives is dropped. */
  | "dropping";

const pacedSockets = new WeakMap<Socket, PacedSocket>();

/** One accepted connection. */
export class PacedSocket implements ReadSource {
  readonly #socket: Socket;
  readonly #turn: ReadTurn;
  readonly #push: (chunk: Buffer | null) => boolean;
  readonly #readKernel: () => void;
  #mode: Mode = "reading";
  /** Bytes that have been read from the kernel and wait for a turn. */
  #held: Buffer | undefined;
  /** Whether the other side has sent its end after these. */
  #hasEnded = false;
  #onDropped: ((bytes: number) => void) | undefined;
  readonly #onGivenUp: () => void;
  /** Called in place of `#onGivenUp` while a body is read. */
  #bodyReader: (() => void) | undefined;

  private constructor(socket: Socket, turn: ReadTurn, onGivenUp: () => void) {
    this.#socket = socket;
    this.#turn = turn;
    this.#onGivenUp = onGivenUp;
    const { push, _read: readKernel } = socket;
    this.#push = (chunk) => push.call(socket, chunk);
    this.#readKernel = () => readKernel.call(socket, 0);
    socket.push = (chunk: Buffer | null) => this.#receive(chunk);
    socket._read = () => this.#readMore();
    // Makes Node's HTTP server leave reading to the socket.
    socket.on("data", () => {});
    socket.on("resume", () => {
      if (this.#isHolding) turn.wait(this);
    });
    socket.once("close", () => this.stop());
  }

  /**
   * Begins to pace a connection from which nothing was read.
   *
   * @param onGivenUp Called when what it sends is not read any more.
   */
  static open(
    socket: Socket,
    turn: ReadTurn,
    onGivenUp: () => void,
  ): PacedSocket {
    const paced = new PacedSocket(socket, turn, onGivenUp);
    pacedSockets.set(socket, paced);
    return paced;
  }

  /** Finds what paces a connection, if something does. */
  static find(socket: Socket): PacedSocket | undefined {
    return pacedSockets.get(socket);
  }

  /** What the connection has cost. */
  get turn(): ReadTurn {
    return this.#turn;
  }

  /** Whether bytes have arrived that nobody has read. */
  get isWaiting(): boolean {
    return this.#isHolding || this.#hasEnded;
  }

  /** Whether some wait on a connection that is read before expensive ones. */
  get isWaitingCheaply(): boolean {
    return this.isWaiting && this.#turn.isCheap();
  }

  /** Whether the body of a request is awaited. */
  get isBodyAwaited(): boolean {
    return this.#bodyReader !== undefined;
  }

  /** Sets who is told, in place of the server, when the connection is given up. */
  setBodyReader(reader: (() => void) | undefined): void {
    this.#bodyReader = reader;
  }

  /** Reads nothing more. */
  stop(): void {
    if (this.#mode === "reading") this.#mode = "stopped";
    this.#held = undefined;
    this.#turn.leave();
  }

  /** Drops what still arrives, told by `onDropped`; the end ends the connection. */
  drop(onDropped: (bytes: number) => void): void {
    this.stop();
    this.#mode = "dropping";
    this.#onDropped = onDropped;
    if (this.#hasEnded) this.#socket.destroySoon();
    else this.#turn.waitToDrop(this);
  }

  readPart(): PartOutcome {
    switch (this.#mode) {
      case "reading":
        if (this.#socket.isPaused()) return this.#held ? "paused" : "none";
        this.#readHeld();
        return this.#isHolding ? "more" : "none";
      case "stopped":
        return "none";
      case "dropping":
        this.#readKernel();
        return "none";
    }
  }

  giveUp(): void {
    this.stop();
    const tell = this.#bodyReader ?? this.#onGivenUp;
    tell();
  }

  get #isHolding(): boolean {
    return this.#held !== undefined;
  }

  /** Takes what the kernel has; false if it is to be asked for no more. */
  #receive(chunk: Buffer | null): boolean {
    if (chunk === null) return this.#receiveEnd();
    switch (this.#mode) {
      case "reading":
        return this.#receiveChunk(chunk);
      case "stopped":
        return false;
      case "dropping":
        this.#turn.waitToDrop(this);
        this.#onDropped?.(chunk.length);
        return false;
    }
  }

  #receiveEnd(): boolean {
    this.#hasEnded = true;
    if (this.#mode === "dropping") this.#socket.destroySoon();
    return this.#mode === "reading" && !this.#isHolding
      ? this.#passEnd()
      : false;
  }

  #receiveChunk(chunk: Buffer): boolean {
    const isFirst = !this.#isHolding;
    this.#held = this.#held === undefined
      ? chunk
      : Buffer.concat([this.#held, chunk]);
    if (isFirst && !this.#socket.isPaused() && this.#turn.takeAtOnce()) {
      this.#readHeld();
    }
    if (this.#isHolding) {
      if (this.#socket.isPaused()) this.#turn.pause(this);
      else this.#turn.wait(this);
    }
    return !this.#isHolding && this.#mode === "reading";
  }

  /** Passes the next part on to the connection's reader. */
  #readHeld(): void {
    const held = this.#held;
    if (held === undefined) return;
    const part = held.subarray(0, partBytes);
    this.#held = part.length < held.length
      ? held.subarray(partBytes)
      : undefined;
    this.#turn.run(() => this.#push(part));
    if (this.#hasEnded && !this.#isHolding) this.#passEnd();
  }

  #passEnd(): boolean {
    this.#hasEnded = false;
    return this.#push(null);
  }

  /** Called when the reader wants more. */
  #readMore(): void {
    if (this.#mode === "reading" && !this.#isHolding) this.#readKernel();
  }
}
