/**
 * The links to one replica: a TCP proxy that passes bytes and ends on in order. While
 * the link from one machine is lossy, each chunk and each end on it is lost with a
 * probability and comes after the retransmission time of TCP, as often as it is lost.
 * The machine of a channel is known from the id of the first request on it.
 */
"use strict";
const { connect, createServer } = require("node:net");

/** Least retransmission time of Linux. */
const retransmitMs = 200;

class Link {
  lossShare = 0;
  /** Machine whose link is lossy. */
  lossyMachine;
  /** Ends of the replica's channels that were lost and come later. */
  delayedEnds = 0;
  #server;
  #sockets = new Set();

  static async open(targetPort) {
    const link = new Link();
    link.#server = createServer({ allowHalfOpen: true, noDelay: true }, (near) => {
      const far = connect({ port: targetPort, host: "127.0.0.1", allowHalfOpen: true, noDelay: true });
      const channel = { machine: undefined };
      link.#join(near, far, channel, false);
      link.#join(far, near, channel, true);
    });
    await new Promise((resolve) => link.#server.listen({ port: 0, host: "127.0.0.1", backlog: 1024 }, resolve));
    return link;
  }

  get port() {
    return this.#server.address().port;
  }

  /** As the kernel of a machine whose process has ended: it refuses channels. */
  refuse() {
    this.#server.close();
  }

  close() {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #join(from, to, channel, isAnswer) {
    this.#sockets.add(from);
    from.once("close", () => this.#sockets.delete(from));
    let last = Promise.resolve();
    const pass = (act, isEnd) => {
      let delayMs = 0;
      const lossShare = channel.machine !== undefined && channel.machine === this.lossyMachine ? this.lossShare : 0;
      for (let rto = retransmitMs; Math.random() < lossShare; rto *= 2) delayMs += rto;
      if (isEnd && delayMs > 0 && isAnswer) this.delayedEnds += 1;
      const due = delayMs === 0 ? undefined : new Promise((resolve) => setTimeout(resolve, delayMs));
      last = last.then(() => due).then(act);
    };
    from.on("data", (chunk) => {
      // The kernel answers what comes for a process that has ended with a reset. That
      // passes an end that was lost before, after a question of the other kernel: three
      // packets.
      if (!isAnswer && to.readableEnded) {
        const lossShare = channel.machine === this.lossyMachine ? this.lossShare : 0;
        if (Math.random() < (1 - lossShare) ** 3) from.resetAndDestroy();
        return;
      }
      if (!isAnswer) channel.machine ??= /x-request-id: [^\r]*-(m\d+)\r/i.exec(chunk.toString("latin1"))?.[1];
      pass(() => { if (!to.destroyed) to.write(chunk); }, false);
    });
    from.on("end", () => pass(() => { if (!to.destroyed) to.end(); }, true));
    from.on("error", () => pass(() => { if (!to.destroyed) to.resetAndDestroy(); }, true));
  }
}
module.exports = { Link };
