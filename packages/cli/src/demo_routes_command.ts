/**
 * `almondcrank demo routes`: sends requests to gateway nodes on loopback while an
 * answer is lost, a replica drains, a key is withdrawn and a node is killed.
 */

import { Command } from "clipanion";
import {
  type RouteAnswer,
  sendRouteRequest,
} from "@almondcrank/load/route_client.ts";
import {
  exampleHostname,
  tenantKey,
} from "@almondcrank/standin/platform/example_configuration.ts";
import { exitCodes } from "./exit_codes.ts";
import { GatewayFleet, streamEventCount } from "./gateway_fleet.ts";

const nodeCount = 2;
const deadlineMs = 4_000;
/** Time after which the stream is about half sent. */
const halfStreamMs = 400;
const withdrawalPollMs = 20;
const maxWithdrawalPolls = 200;

/** Runs the gateway demonstration, which takes less than half a minute. */
export class DemoRoutesCommand extends Command {
  static override paths = [["demo", "routes"]];
  static override usage = Command.Usage({
    description: "demonstrate gateway nodes against stand-ins on loopback",
    examples: [["Run the demonstration", "almondcrank demo routes"]],
  });

  #requests = 0;
  #failures = 0;

  override async execute(): Promise<number> {
    const fleet = await GatewayFleet.open(nodeCount);
    this.#write(
      `${nodeCount} gateway nodes, 2 model and 2 booking replicas, a store and a cloud address on loopback`,
    );
    try {
      await this.#book(fleet);
      await this.#loseAnswer(fleet);
      await this.#drainReplica(fleet);
      await this.#withdrawKey(fleet);
      await this.#killNode(fleet);
    } finally {
      await fleet.close();
    }
    this.#write(
      this.#failures === 0
        ? "Everything came out as promised."
        : `${this.#failures} steps did not come out as promised.`,
    );
    return this.#failures === 0 ? exitCodes.done : exitCodes.failed;
  }

  async #book(fleet: GatewayFleet): Promise<void> {
    const { id, answer } = await this.#send(fleet, {});
    this.#check(
      `a booking is answered ${answer.status} by its replica and runs ${
        fleet.countRuns(id)
      } time`,
      answer.status === 200 && fleet.countRuns(id) === 1,
    );
  }

  async #loseAnswer(fleet: GatewayFleet): Promise<void> {
    for (const replica of fleet.replicas) {
      replica.queuedFaults.push({ kind: "lose_answer" });
    }
    const { id, answer } = await this.#send(fleet, {});
    this.#check(
      `a booking whose answer is lost gets ${answer.status}, which leaves the outcome open, and is not sent again (${
        fleet.countRuns(id)
      } run)`,
      answer.status === 502 && fleet.countRuns(id) === 1,
    );
    for (const replica of fleet.replicas) replica.queuedFaults.length = 0;
  }

  async #drainReplica(fleet: GatewayFleet): Promise<void> {
    const path = "/answer/draft/stream";
    const sent = this.#send(fleet, { path, id: "draft" });
    await new Promise((resolve) => setTimeout(resolve, halfStreamMs));
    const source = fleet.findRunningReplica("draft");
    if (source !== undefined) fleet.registerReplica(source, "draining");
    const { answer } = await sent;
    const events = answer.body.split("\n\n").length - 1;
    this.#check(
      `${source?.id} drains in the middle of a stream: ${events} of ${streamEventCount} events arrive, ${
        answer.isComplete ? "none missing" : "the rest is missing"
      }`,
      answer.isComplete && events === streamEventCount,
    );
  }

  async #withdrawKey(fleet: GatewayFleet): Promise<void> {
    fleet.configure([tenantKey, "second-key"]);
    await this.#waitStatus(fleet, "second-key", 200);
    fleet.configure([tenantKey]);
    const ms = await this.#waitStatus(fleet, "second-key", 401);
    this.#check(
      `a withdrawn key is refused by all nodes ${ms} ms later`,
      ms !== undefined,
    );
  }

  async #killNode(fleet: GatewayFleet): Promise<void> {
    const [first] = fleet.nodes;
    await first?.kill();
    const { answer } = await this.#send(fleet, { node: 1 });
    this.#check(
      `${first?.place.name} is killed; the other node answers ${answer.status}`,
      answer.status === 200,
    );
  }

  /**
   * Milliseconds until all nodes answer requests with `key` by `status`;
   * undefined when they don't within the polls.
   */
  async #waitStatus(
    fleet: GatewayFleet,
    key: string,
    status: number,
  ): Promise<number | undefined> {
    const startedAt = performance.now();
    for (let polls = 0; polls < maxWithdrawalPolls; polls += 1) {
      const answers = await Promise.all(
        fleet.callerAddresses.map((_, node) =>
          this.#send(fleet, { node, key })
        ),
      );
      if (answers.every(({ answer }) => answer.status === status)) {
        return Math.round(performance.now() - startedAt);
      }
      await new Promise((resolve) => setTimeout(resolve, withdrawalPollMs));
    }
    return undefined;
  }

  async #send(
    fleet: GatewayFleet,
    { node = 0, path = "/book/slot", key = tenantKey, id }: DemoRequest,
  ): Promise<{ readonly id: string; readonly answer: RouteAnswer }> {
    this.#requests += 1;
    const sentId = id ?? `demo-${this.#requests}`;
    const answer = await sendRouteRequest({
      address: fleet.callerAddresses[node] ?? "",
      host: exampleHostname,
      path,
      id: sentId,
      key,
      deadlineMs,
    });
    return { id: sentId, answer };
  }

  #check(line: string, isExpected: boolean): void {
    if (!isExpected) this.#failures += 1;
    this.#write(`${isExpected ? "ok   " : "WRONG"} ${line}`);
  }

  #write(line: string): void {
    this.context.stdout.write(`${line}\n`);
  }
}

interface DemoRequest {
  readonly node?: number;
  readonly path?: string;
  readonly key?: string;
  readonly id?: string;
}
