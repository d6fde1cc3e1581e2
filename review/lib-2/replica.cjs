/**
 * A model replica as a process of its own: streams of numbered events, some answers
 * with chunks and some without a length, which end with their channel.
 *
 * Arguments: id, start time (Unix ms), port (a free one by default), slots (no limit by
 * default; a full replica answers 503 and when to come back). It prints its port. SIGKILL
 * is its crash.
 */
"use strict";
const { createServer } = require("node:http");
const [id, born, port = "0", slots = "Infinity"] = process.argv.slice(2);
let running = 0;
const server = createServer({ keepAliveTimeout: 0 }, async (request, response) => {
  for await (const chunk of request) void chunk;
  const { headers, url, socket } = request;
  const isQuestion = url === "/report" || url === "/healthz";
  if (!isQuestion && headers["x-request-id"] === undefined) {
    response.writeHead(400, { "X-Not-Executed": "1" });
    return response.end();
  }
  const requestId = headers["x-request-id"];
  const echo = requestId === undefined ? {} : { "X-Request-Id": requestId };
  const expected = headers["x-expect-instance"];
  if (expected !== undefined && expected !== id) {
    response.writeHead(421, { ...echo, "X-Replica-Id": id });
    return response.end();
  }
  if (isQuestion) {
    const body = JSON.stringify({ stage: "colocated", models: [], busy: false, "seq-no": 1, queued: 0, active: 0, "kv-used": 0, "kv-total": 90000, born: Number(born) });
    response.writeHead(200, { "Content-Type": "application/json", "X-Replica-Id": id });
    return response.end(body);
  }
  if (running >= Number(slots)) {
    response.writeHead(503, { ...echo, "X-Not-Executed": "1", "Retry-After": "2" });
    return response.end();
  }
  running += 1;
  socket.setMaxListeners(0);
  response.once("close", () => running -= 1);
  // The path tells the framing, the events and the time between them.
  const [, , framing, events, eventMs] = url.split("/");
  const first = Number(headers["last-event-id"] ?? 0) + 1;
  const head = { ...echo, "X-Server-Seal": `seal.${id}`, "Content-Type": "text/event-stream" };
  const isUnframed = framing === "unframed";
  if (isUnframed) {
    const lines = Object.entries(head).map(([name, value]) => `${name}: ${value}\r\n`);
    socket.write(`HTTP/1.1 200 OK\r\n${lines.join("")}Connection: close\r\n\r\n`);
  } else response.writeHead(200, head);
  for (let event = first; event <= Number(events); event += 1) {
    const text = `id: ${event}\ndata: piece ${event}\n\n`;
    if (isUnframed) socket.write(text);
    else response.write(text);
    await new Promise((resolve) => setTimeout(resolve, Number(eventMs)));
    if (socket.destroyed) return;
  }
  if (isUnframed) socket.end(() => response.destroy());
  else response.end();
});
server.listen(Number(port), "127.0.0.1", () => console.log(server.address().port));
