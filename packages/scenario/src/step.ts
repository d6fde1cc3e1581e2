/**
 * Steps of a scenario.
 *
 * Nodes and endpoints are counted from 1. Requests and applies run in the
 * background under a name until a step waits for them.
 */

/** An endpoint by number, or the one that serves a chat at this moment. */
export type EngineReference =
  | { readonly kind: "number"; readonly engine: number }
  | { readonly kind: "serving"; readonly chat: string };

/** Idempotency key of a booking. */
export type KeyReference =
  | { readonly kind: "none" }
  /** Issued by a node. */
  | { readonly kind: "issued"; readonly node: number }
  /** Made by the caller. */
  | { readonly kind: "own"; readonly text: string }
  /** The key of an earlier booking. */
  | { readonly kind: "of"; readonly booking: string };

/** Fault of a process or connection. */
export type ProcessFault = "kill" | "freeze" | "thaw" | "stop" | "start";

/** Fault of an engine. */
export type EngineFault =
  | { readonly kind: "vanish" }
  | { readonly kind: "freeze" }
  | { readonly kind: "thaw" }
  | { readonly kind: "slow"; readonly factor: number }
  | { readonly kind: "cut_before_first" }
  | { readonly kind: "cut_after"; readonly tokens: number }
  | { readonly kind: "cut_before_end" };

/** Fault of the object API. */
export type ObjectApiFault =
  | { readonly kind: "out" }
  | { readonly kind: "back" }
  | { readonly kind: "slow"; readonly ms: number }
  | { readonly kind: "lose_next" }
  | { readonly kind: "lose_all" };

/** What a request must have come to. */
export type Expectation =
  | { readonly kind: "whole" }
  | { readonly kind: "answered" }
  | { readonly kind: "refused"; readonly reason: string }
  /** One of several values of `run`; an answer counts as `ran`. */
  | { readonly kind: "run"; readonly states: readonly string[] };

export type Step =
  | { readonly kind: "title"; readonly text: string }
  | { readonly kind: "promise"; readonly name: string }
  | { readonly kind: "fault"; readonly name: string }
  | {
    readonly kind: "fleet";
    readonly nodes: number;
    readonly engines: number;
    readonly bookings: number;
    readonly zones: number;
  }
  | {
    readonly kind: "chat";
    readonly name: string;
    readonly node: number;
    readonly team: string;
    readonly tokens: number;
    readonly prompt: string;
  }
  | { readonly kind: "leave"; readonly name: string }
  | { readonly kind: "return"; readonly name: string; readonly node: number }
  | {
    readonly kind: "book";
    readonly name: string;
    readonly node: number;
    readonly slot: string;
    readonly key: KeyReference;
  }
  | {
    readonly kind: "apply";
    readonly name: string;
    readonly node: number;
    /** Name of a team that the note adds. */
    readonly team: string;
  }
  | {
    readonly kind: "after_tokens";
    readonly name: string;
    readonly tokens: number;
  }
  | { readonly kind: "after_ms"; readonly ms: number }
  | { readonly kind: "finish"; readonly name: string }
  | {
    readonly kind: "process";
    readonly node: number;
    readonly fault: ProcessFault;
  }
  | {
    readonly kind: "engine";
    readonly engine: EngineReference;
    readonly fault: EngineFault;
  }
  | {
    readonly kind: "booking_fault";
    readonly service: number;
    readonly fault: EngineFault;
  }
  | { readonly kind: "store"; readonly fault: ObjectApiFault }
  | { readonly kind: "cut"; readonly node: number; readonly cut: boolean }
  | {
    readonly kind: "reclaim_zone";
    readonly zone: number;
    readonly noticeMs: number;
  }
  | {
    readonly kind: "reclaim_engine";
    readonly engine: EngineReference;
    readonly noticeMs: number;
  }
  | {
    readonly kind: "expect";
    readonly name: string;
    readonly expectation: Expectation;
  }
  | {
    readonly kind: "expect_slot";
    readonly slot: string;
    readonly atMost: number;
    readonly atLeast: number;
  }
  | {
    readonly kind: "expect_in_force";
    readonly name: string;
    readonly withinMs: number;
  }
  /** Remembers how many requests have arrived at an engine. */
  | { readonly kind: "mark_engine"; readonly engine: number }
  | {
    readonly kind: "expect_ready";
    readonly node: number;
    readonly withinMs: number;
  }
  | {
    readonly kind: "expect_no_work";
    readonly engine: number;
    readonly waitMs: number;
  };

/** A step with its line, counted from 1. */
export interface ParsedStep {
  readonly line: number;
  readonly text: string;
  readonly step: Step;
}

/** A parsed scenario. */
export interface Scenario {
  readonly file: string;
  readonly title: string;
  readonly promises: readonly string[];
  readonly faults: readonly string[];
  readonly steps: readonly ParsedStep[];
}
