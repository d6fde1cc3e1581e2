/**
 * Lets the event loop read what has arrived before the code goes on.
 *
 * After the loop stood still, a request and the end of its caller's connection
 * have both arrived, but the loop reads them in different turns. Code that acts
 * for a caller waits for one whole turn first, so that it acts on what is known.
 */

/** Resolves after the loop has read once more from all connections. */
export function waitForPoll(): Promise<void> {
  // The first immediate ends the present turn, the second one follows a poll.
  return new Promise((resolve) => setImmediate(() => setImmediate(resolve)));
}
