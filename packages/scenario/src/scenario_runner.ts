/**
 * Runs one scenario against a fleet of real processes.
 *
 * Each step adds one line to the transcript. Lines contain only facts that do
 * not vary between runs with the same seed, so a transcript can be compared with
 * a golden file. A step that fails adds a finding, and the run continues.
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

/** Result of one run of a scenario. */
export interface ScenarioResult {
  readonly scenario: Scenario;
  readonly seed: number;
  /** One line per step. */
  readonly transcript: readonly string[];
  /** Descriptions of failed steps and checks; empty if the scenario passed. */
  readonly findings: readonly string[];
  /** Logs of all processes, empty if there are no findings. */
  readonly logs: string;
}

/** A booking that has been sent. */
interface Booking {
  readonly slot: string;
  readonly key: string | undefined;
  readonly outcome: Promise<Outcome>;
}

/** An apply that has been sent. */
interface Apply {
  readonly team: string;
  readonly answer: Promise<{ readonly status: number; readonly body: unknown }>;
}

/** Runs a scenario; the seed makes the stand-ins' behaviour repeatable. */
export async function runScenario(
  scenario: Scenario,
  options: { readonly seed: number; readonly hasher: Hasher },
): Promise<ScenarioResult> {
  const runner = ScenarioRunner.create(scenario, options);
  return await runner.run();
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
  /** Arrivals at each marked engine when it was marked, by its number. */
  readonly #markedArrivals = new Map<number, number>();
  /** Text that the current step appends to its line of the transcript. */
  #detail = "";
  #fleet: RunningFleet | undefined;
  #revisionMonitor: RevisionMonitor | undefined;

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
      for (const step of this.#scenario.steps) await this.#runAndRecord(step);
      await this.#checkEnd();
    } catch (thrown) {
      this.#findings.push(`scenario aborted: ${(thrown as Error).stack}`);
    } finally {
      if (this.#findings.length > 0) logs = this.#fleet?.formatLogs() ?? "";
      await this.#revisionMonitor?.stop();
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

  async #runAndRecord({ line, text, step }: ParsedStep): Promise<void> {
    this.#detail = "";
    const finding = await this.#runStep(step) ?? undefined;
    const suffix = finding === undefined ? this.#detail : ` -- ${finding}`;
    this.#transcript.push(`${text}${suffix}`);
    if (finding !== undefined) {
      this.#findings.push(`line ${line}: ${text}: ${finding}`);
    }
  }

  /** Runs one step; returns a description of its failure, if any. */
  async #runStep(step: Step): Promise<string | void> {
    switch (step.kind) {
      case "title":
      case "promise":
      case "fault":
        return;
      case "fleet":
        this.#fleet = await RunningFleet.open(step, this.#seed);
        this.#revisionMonitor = RevisionMonitor.create(this.#fleet);
        return;
      case "chat":
        return this.#startChat(step);
      case "leave":
        return this.#requireChat(step.name).closeConnection();
      case "return":
        return this.#requireChat(step.name).resume(
          this.#findTarget(step.node, "counter"),
        );
      case "book":
        return await this.#startBooking(step);
      case "apply":
        return this.#startApply(step);
      case "after_tokens":
        return await this.#requireChat(step.name).waitForTokens(step.tokens);
      case "after_ms":
        return await sleep(step.ms);
      case "finish":
        return await this.#waitForEnd(step.name);
      case "process":
        return await applyProcessFault(this.#requireFleet(), step);
      case "engine":
        return await this.#send(
          await this.#findEngine(step.engine),
          encodeEngineFault(step.fault),
        );
      case "booking_fault":
        return await this.#send(
          `booking-${step.service}`,
          encodeEngineFault(step.fault),
        );
      case "store":
        return await this.#send("objectApi", encodeObjectApiFault(step.fault));
      case "cut":
        return this.#requireFleet().setCut(step.node, step.cut);
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
        return await this.#createChecks().checkReady(step.node, step.withinMs);
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
      outcome: sendBooking(target, { slot: step.slot, key }),
    });
  }

  #startApply(step: Extract<Step, { readonly kind: "apply" }>): undefined {
    const answer = this.#requireFleet().callOperator(step.node, "/apply", {
      file: `${step.name}.jsonc`,
      text: JSON.stringify(createTeamNote(step.team)),
      writeId: `scenario-${step.name}`,
    });
    this.#applies.set(step.name, { team: step.team, answer });
  }

  async #waitForEnd(name: string): Promise<string | undefined> {
    await this.#chats.get(name)?.waitForOutcome();
    await this.#bookings.get(name)?.outcome;
    await this.#applies.get(name)?.answer;
    return undefined;
  }

  async #send(part: string, body: object): Promise<undefined> {
    await this.#requireFleet().sendControl(part, "", body);
  }

  async #reclaim(body: object): Promise<undefined> {
    await this.#requireFleet().sendControl("cloudApi", "/reclaim", body);
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
        const reported = computeReportedRun(outcome);
        return expectation.states.includes(reported)
          ? undefined
          : formatOutcome(outcome);
      }
    }
  }

  async #waitOutcome(name: string): Promise<Outcome> {
    const apply = this.#applies.get(name);
    if (apply !== undefined) return createApplyOutcome(await apply.answer);
    const booking = this.#bookings.get(name);
    if (booking !== undefined) return await booking.outcome;
    return await this.#requireChat(name).waitForOutcome();
  }

  /** Checks that every token of a chat arrived and is the expected one. */
  #checkWhole(name: string, outcome: Outcome): string | undefined {
    const wrong = checkChatTokens(this.#hasher, name, this.#requireChat(name));
    if (wrong !== undefined) return wrong;
    if (outcome.kind !== "answered") return formatOutcome(outcome);
    this.#detail = ` => ${this.#requireChat(name).tokens.length} tokens`;
    return undefined;
  }

  async #checkSlot(
    step: Extract<Step, { readonly kind: "expect_slot" }>,
  ): Promise<string | undefined> {
    const count = await this.#createChecks().countBookings(step.slot);
    if (step.atLeast === step.atMost) this.#detail = ` => ${count} runs`;
    return count >= step.atLeast && count <= step.atMost
      ? undefined
      : `booked ${count} times`;
  }

  async #checkInForce(
    step: Extract<Step, { readonly kind: "expect_in_force" }>,
  ): Promise<string | undefined> {
    const apply = this.#applies.get(step.name);
    if (apply === undefined) throw new Error(`no apply step ${step.name}`);
    const answer = await apply.answer;
    if (answer.status !== 200) return formatOutcome(createApplyOutcome(answer));
    const { revision } = answer.body as { revision: number };
    return await this.#createChecks().checkInForce(revision, step.withinMs);
  }

  async #markEngine(engine: number): Promise<undefined> {
    const arrivals = await this.#createChecks().readArrivals(engine);
    this.#markedArrivals.set(engine, arrivals);
  }

  async #checkNoWork(
    { engine, waitMs }: Extract<Step, { readonly kind: "expect_no_work" }>,
  ): Promise<string | undefined> {
    const since = this.#markedArrivals.get(engine);
    if (since === undefined) return "engine not marked; add a mark step first";
    return await this.#createChecks().checkNoWork(engine, { since, waitMs });
  }

  /** Checks chats, bookings and revisions at the end of every scenario. */
  async #checkEnd(): Promise<void> {
    for (const [name, chat] of this.#chats) {
      const wrong = checkChatTokens(this.#hasher, name, chat);
      if (wrong !== undefined) this.#findings.push(`at the end: ${wrong}`);
    }
    await this.#checkBookings();
    this.#findings.push(...this.#revisionMonitor?.findings ?? []);
  }

  /** A slot has at most one run per key, and none if all were told not_run. */
  async #checkBookings(): Promise<void> {
    const slots = new Set<string>();
    for (const { slot } of this.#bookings.values()) slots.add(slot);
    for (const slot of slots) {
      const sent = [...this.#bookings.values()].filter((b) => b.slot === slot);
      const runs = await this.#createChecks().countBookings(slot);
      const keys = new Set(sent.map((booking) => booking.key ?? booking)).size;
      if (runs > keys) {
        this.#findings.push(`at the end: slot ${slot} booked ${runs} times`);
      }
      const outcomes = await Promise.all(sent.map((b) => b.outcome));
      const notRun = outcomes.every((o) => computeReportedRun(o) === "not_run");
      if (notRun && runs > 0) {
        this.#findings.push(`at the end: slot ${slot} booked after not_run`);
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
    const { streamId } = this.#requireChat(reference.chat);
    for (const node of this.#requireFleet().runningNodes) {
      const answer = await this.#requireFleet().callOperator(node, "/streams");
      const { streams } = answer.body as { streams: readonly StreamRow[] };
      const found = streams.find((stream) => stream.id === streamId);
      if (found?.endpoint !== undefined) return found.endpoint;
    }
    throw new Error(`no engine serves chat ${reference.chat}`);
  }

  #requireChat(name: string): ChatCall {
    const chat = this.#chats.get(name);
    if (chat === undefined) throw new Error(`no chat step ${name}`);
    return chat;
  }

  #findTarget(node: number, team: string): CallerTarget {
    const { callers } = this.#requireFleet().findAddresses(node);
    return { address: callers, key: formatTeamKey(team) };
  }

  #createChecks(): FleetChecks {
    return FleetChecks.create(this.#requireFleet());
  }

  #requireFleet(): RunningFleet {
    if (this.#fleet === undefined) {
      throw new Error("there is no fleet; add a fleet step before this line");
    }
    return this.#fleet;
  }
}
