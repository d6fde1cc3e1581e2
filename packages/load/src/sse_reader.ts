/**
 * Parses server-sent events of a response body.
 */

/** A server-sent event; other fields than `id` and `data` are ignored. */
export interface ServerSentEvent {
  readonly id: string | undefined;
  readonly data: string;
}

/** Yields the events of a body in the order in which they arrive. */
export async function* readServerSentEvents(
  body: AsyncIterable<Uint8Array>,
): AsyncGenerator<ServerSentEvent> {
  const decoder = new TextDecoder();
  let rest = "";
  for await (const chunk of body) {
    rest += decoder.decode(chunk, { stream: true });
    const blocks = rest.split("\n\n");
    rest = blocks.pop() ?? "";
    for (const block of blocks) yield parseEvent(block);
  }
}

function parseEvent(block: string): ServerSentEvent {
  let id: string | undefined;
  let data = "";
  for (const line of block.split("\n")) {
    if (line.startsWith("id: ")) id = line.slice("id: ".length);
    else if (line.startsWith("data: ")) data += line.slice("data: ".length);
  }
  return { id, data };
}
