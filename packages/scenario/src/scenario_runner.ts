/**
 * Runs one scenario against a fleet of real processes.
 *
 * Each step writes one line of the transcript. Lines hold stable facts only, so
 * that the transcript of a seed is the same each time and can be kept as a
 * golden file. A step that does not hold is a finding; the run goes on.
 */

import { setTimeout as sleep } from "node:timers/promises";
import type { Hasher } from "@almondcrank/common/hashing.ts";
import {
  type CallerTarget,
  ChatCall,
  issueKey,
  sendBooking,
} from "./caller.ts";
import { checkChatTokens } from "./chat_check.ts";
import { FleetChecks } from "./fleet_checks.ts";
import { createTeamNote, formatTeamKey } from "./fleet_settings.ts";
import type { StreamRow } from "@almondcrank/node/operator_messages.ts";
import { RevisionMonitor } from "./revision_monitor.ts";
import {
  computeReportedRun,
  createApplyOutcome,
  formatOutcome,
  type Outcome,
} from "./outcome.ts";
import { applyProcessFault } from "./process_fault.ts";
import { RunningFleet } from "./running_fleet.ts";
import { encodeEngineFault, encodeObjectApiFault } from "./standin_faults.ts";
import type {
  EngineReference,
  Expectation,
  KeyReference,
  ParsedStep,
  Scenario,
  Step,
} from "./step.ts";

/** Result of one scenario. */
export interface ScenarioResult {
  readonly scenario: Scenario;
  readonly seed: number;
  /** One line a step. */
  readonly transcript: readonly string[];
  /** What did not hold. */
  readonly findings: readonly string[];
  /** Logs of all processes when something did not hold. */
  readonly logs: string;
}

/** A booking that has been sent. */
interface Booking {
  readonly slot: string;
  readonly key: string | undefined;
  readonly ended: Promise<Outcome>;
}

/** An apply that has been sent. */
interface Apply {
  readonly team: string;
  readonly ended: Promise<{ readonly status: number; readonly body: unknown }>;
}

/** Runs a scenario with a seed. */
export async function runScenario(
  scenario: Scenario,
  options: { readonly seed: number; readonly hasher: Hasher },
): Promise<ScenarioResult> {
  const session = ScenarioRunner.create(scenario, options);
  return await session.run();
}

class ScenarioRunner {
  readonly #scenario: Scenario;
  readonly #seed: number;
  readonly #hasher: Hasher;
  readonly #transcript: string[] = [];
  readonly #findings: string[] = [];
  readonly #chats = new Map<string, ChatCall>();
  readonly #bookings = new Map<string, Booking>();
  readonly #applies = new Map<string, Apply>();
  /** Arrivals at engines when they were marked. */
  readonly #marks = new Map<number, number>();
  /** Stable fact of the present step, for the transcript. */
  #fact = "";
  #fleet: RunningFleet | undefined;
  #watch: RevisionMonitor | undefined;

  private constructor(
    scenario: Scenario,
    options: { readonly seed: number; readonly hasher: Hasher },
  ) {
    this.#scenario = scenario;
    this.#seed = options.seed;
    this.#hasher = options.hasher;
  }

  static create(
    scenario: Scenario,
    options: { readonly seed: number; readonly hasher: Hasher },
  ): ScenarioRunner {
    return new ScenarioRunner(scenario, options);
  }

  async run(): Promise<ScenarioResult> {
    let logs = "";
    try {
      for (const placed of this.#scenario.steps) await this.#runPlaced(placed);
      await this.#checkEnd();
    } catch (thrown) {
      this.#findings.push(`stopped: ${(thrown as Error).stack}`);
    } finally {
      if (this.#findings.length > 0) logs = this.#fleet?.formatLogs() ?? "";
      await this.#watch?.stop();
      await this.#fleet?.close();
    }
    return {
      scenario: this.#scenario,
      seed: this.#seed,
      transcript: this.#transcript,
      findings: this.#findings,
      logs,
    };
  }

  async #runPlaced({ line, text, step }: ParsedStep): Promise<void> {
    this.#fact = "";
    const finding = await this.#runStep(step) ?? undefined;
    const note = finding === undefined ? this.#fact : ` -- ${finding}`;
    this.#transcript.push(`${text}${note}`);
    if (finding !== undefined) {
      this.#findings.push(`line ${line}: ${text}: ${finding}`);
    }
  }

  /** Runs one step; a string says what did not hold. */
  async #runStep(step: Step): Promise<string | void> {
    switch (step.kind) {
      case "title":
      case "promise":
      case "fault":
        return;
      case "fleet":
        this.#fleet = await RunningFleet.open(step, this.#seed);
        this.#watch = RevisionMonitor.create(this.#fleet);
        return;
      case "chat":
        return this.#startChat(step);
      case "leave":
        return this.#findChat(step.name).closeConnection();
      case "return":
        return this.#findChat(step.name).resume(
          this.#findTarget(step.node, "counter"),
        );
      case "book":
        return await this.#startBooking(step);
      case "apply":
        return this.#startApply(step);
      case "after_tokens":
        return await this.#findChat(step.name).waitForTokens(step.tokens);
      case "after_ms":
        return await sleep(step.ms);
      case "finish":
        return await this.#finish(step.name);
      case "process":
        return await applyProcessFault(this.#readFleet(), step);
      case "engine":
        return await this.#control(
          await this.#findEngine(step.engine),
          encodeEngineFault(step.fault),
        );
      case "booking_fault":
        return await this.#control(
          `booking-${step.service}`,
          encodeEngineFault(step.fault),
        );
      case "store":
        return await this.#control(
          "objectApi",
          encodeObjectApiFault(step.fault),
        );
      case "cut":
        return this.#readFleet().setCut(step.node, step.cut);
      case "reclaim_zone":
        return await this.#reclaim({
          zone: `zone-${step.zone}`,
          noticeMs: step.noticeMs,
        });
      case "reclaim_engine":
        return await this.#reclaim({
          host: await this.#findEngine(step.engine),
          noticeMs: step.noticeMs,
        });
      case "expect":
        return await this.#checkExpectation(step.name, step.expectation);
      case "expect_slot":
        return await this.#checkSlot(step);
      case "expect_in_force":
        return await this.#checkInForce(step);
      case "expect_ready":
        return await this.#readChecks().checkReady(step.node, step.withinMs);
      case "mark_engine":
        return await this.#markEngine(step.engine);
      case "expect_no_work":
        return await this.#checkNoWork(step);
    }
  }

  #startChat(step: Extract<Step, { readonly kind: "chat" }>): undefined {
    const chat = ChatCall.create(step.prompt, step.tokens);
    chat.start(this.#findTarget(step.node, step.team));
    this.#chats.set(step.name, chat);
  }

  async #startBooking(
    step: Extract<Step, { readonly kind: "book" }>,
  ): Promise<undefined> {
    const key = await this.#findKey(step.key);
    const target = this.#findTarget(step.node, "counter");
    this.#bookings.set(step.name, {
      slot: step.slot,
      key,
      ended: sendBooking(target, { slot: step.slot, key }),
    });
  }

  #startApply(step: Extract<Step, { readonly kind: "apply" }>): undefined {
    const ended = this.#readFleet().callOperator(step.node, "/apply", {
      file: `${step.name}.jsonc`,
      text: JSON.stringify(createTeamNote(step.team)),
      writeId: `scenario-${step.name}`,
    });
    this.#applies.set(step.name, { team: step.team, ended });
  }

  async #finish(name: string): Promise<string | undefined> {
    await this.#chats.get(name)?.waitForOutcome();
    await this.#bookings.get(name)?.ended;
    await this.#applies.get(name)?.ended;
    return undefined;
  }

  async #control(part: string, order: object): Promise<undefined> {
    await this.#readFleet().sendControl(part, "", order);
  }

  async #reclaim(order: object): Promise<undefined> {
    await this.#readFleet().sendControl("cloudApi", "/reclaim", order);
  }

  async #checkExpectation(
    name: string,
    expectation: Expectation,
  ): Promise<string | undefined> {
    const outcome = await this.#waitOutcome(name);
    switch (expectation.kind) {
      case "answered":
        return outcome.kind === "answered" ? undefined : formatOutcome(outcome);
      case "whole":
        return this.#checkWhole(name, outcome);
      case "refused":
        return outcome.kind === "refused" &&
            outcome.reason === expectation.reason
          ? undefined
          : formatOutcome(outcome);
      case "run": {
        const told = computeReportedRun(outcome);
        return expectation.states.includes(told)
          ? undefined
          : formatOutcome(outcome);
      }
    }
  }

  async #waitOutcome(name: string): Promise<Outcome> {
    const apply = this.#applies.get(name);
    if (apply !== undefined) return createApplyOutcome(await apply.ended);
    const booking = this.#bookings.get(name);
    if (booking !== undefined) return await booking.ended;
    return await this.#findChat(name).waitForOutcome();
  }

  /** Every token received must be the right one, and none may be missing. */
  #checkWhole(name: string, outcome: Outcome): string | undefined {
    const wrong = checkChatTokens(this.#hasher, name, this.#findChat(name));
    if (wrong !== undefined) return wrong;
    if (outcome.kind !== "answered") return formatOutcome(outcome);
    this.#fact = ` => ${this.#findChat(name).tokens.length} tokens`;
    return undefined;
  }

  async #checkSlot(
    step: Extract<Step, { readonly kind: "expect_slot" }>,
  ): Promise<string | undefined> {
    const count = await this.#readChecks().countBookings(step.slot);
    if (step.atLeast === step.atMost) this.#fact = ` => ${count} runs`;
    return count >= step.atLeast && count <= step.atMost
      ? undefined
      : `booked ${count} times`;
  }

  async #checkInForce(
    step: Extract<Step, { readonly kind: "expect_in_force" }>,
  ): Promise<string | undefined> {
    const apply = this.#applies.get(step.name);
    if (apply === undefined) throw new Error(`no apply ${step.name}`);
    const answer = await apply.ended;
    if (answer.status !== 200) return formatOutcome(createApplyOutcome(answer));
    const { revision } = answer.body as { revision: number };
    return await this.#readChecks().checkInForce(revision, step.withinMs);
  }

  async #markEngine(engine: number): Promise<undefined> {
    const arrivals = await this.#readChecks().readArrivals(engine);
    this.#marks.set(engine, arrivals);
  }

  async #checkNoWork(
    { engine, waitMs: forMs }: Extract<
      Step,
      { readonly kind: "expect_no_work" }
    >,
  ): Promise<string | undefined> {
    const since = this.#marks.get(engine);
    if (since === undefined) return "not marked; write a mark step first";
    return await this.#readChecks().checkNoWork(engine, { since, forMs });
  }

  /** What must hold at the end of every scenario. */
  async #checkEnd(): Promise<void> {
    for (const [name, chat] of this.#chats) {
      const wrong = checkChatTokens(this.#hasher, name, chat);
      if (wrong !== undefined) this.#findings.push(`at the end: ${wrong}`);
    }
    await this.#checkBookings();
    this.#findings.push(...this.#watch?.findings ?? []);
  }

  async #checkBookings(): Promise<void> {
    const slots = new Set<string>();
    for (const { slot } of this.#bookings.values()) slots.add(slot);
    for (const slot of slots) {
      const sent = [...this.#bookings.values()].filter((b) => b.slot === slot);
      const runs = await this.#readChecks().countBookings(slot);
      const keys = new Set(sent.map((booking) => booking.key ?? booking)).size;
      if (runs > keys) {
        this.#findings.push(`at the end: slot ${slot} ran ${runs} times`);
      }
      const told = await Promise.all(sent.map((booking) => booking.ended));
      const allNotRun = told.every((o) => computeReportedRun(o) === "not_run");
      if (allNotRun && runs > 0) {
        this.#findings.push(`at the end: slot ${slot} ran after not_run`);
      }
    }
  }

  async #findKey(reference: KeyReference): Promise<string | undefined> {
    switch (reference.kind) {
      case "none":
        return undefined;
      case "own":
        return reference.text;
      case "issued":
        return await issueKey(this.#findTarget(reference.node, "counter"));
      case "of":
        return this.#bookings.get(reference.booking)?.key;
    }
  }

  async #findEngine(reference: EngineReference): Promise<string> {
    if (reference.kind === "number") return `engine-${reference.engine}`;
    const { streamId } = this.#findChat(reference.chat);
    for (const node of this.#readFleet().runningNodes) {
      const answer = await this.#readFleet().callOperator(node, "/streams");
      const { streams } = answer.body as { streams: readonly StreamRow[] };
      const found = streams.find((stream) => stream.id === streamId);
      if (found?.endpoint !== undefined) return found.endpoint;
    }
    throw new Error(`no engine serves chat ${reference.chat}`);
  }

  #findChat(name: string): ChatCall {
    const chat = this.#chats.get(name);
    if (chat === undefined) throw new Error(`there is no chat ${name}`);
    return chat;
  }

  #findTarget(node: number, team: string): CallerTarget {
    const { callers } = this.#readFleet().findAddresses(node);
    return { address: callers, key: formatTeamKey(team) };
  }

  #readChecks(): FleetChecks {
    return FleetChecks.create(this.#readFleet());
  }

  #readFleet(): RunningFleet {
    if (this.#fleet === undefined) {
      throw new Error("no fleet yet; write a fleet step first");
    }
    return this.#fleet;
  }
}
