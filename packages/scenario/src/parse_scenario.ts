/**
 * The scenario language: one step a line, `#` begins a comment.
 *
 * Each form below is the step's words with typed holes: `<n>` a whole number,
 * `<name>` a name, `"<text>"` a quoted text. The README of the scenarios lists
 * the forms by example.
 */

import { type Either, Left, Right } from "purify-ts";
import { KindError } from "@almondcrank/common/kind_error.ts";
import type {
  EngineFault,
  EngineReference,
  Expectation,
  KeyReference,
  ObjectApiFault,
  ParsedStep,
  ProcessFault,
  Scenario,
  Step,
} from "./step.ts";

/** A line that is no step. */
export interface ScenarioErrorDetail {
  readonly kind: "unknown_step";
  readonly file: string;
  readonly line: number;
  readonly text: string;
}

/** A scenario that cannot be parsed. */
export class ScenarioError extends KindError<ScenarioErrorDetail> {
  static create(detail: ScenarioErrorDetail): ScenarioError {
    const { file, line, text } = detail;
    return new ScenarioError(
      detail,
      `${file}:${line}: "${text}" is not a step; see scenarios/README.md for the forms`,
    );
  }
}

type Holes = readonly string[];

interface Form {
  readonly pattern: RegExp;
  readonly create: (holes: Holes) => Step | undefined;
}

const holePatterns: Readonly<Record<string, string>> = {
  "<n>": "(\\d+(?:\\.\\d+)?)",
  "<name>": "([\\w-]+)",
  '"<text>"': '"([^"]*)"',
  "<rest>": "(.+)",
};

function createForm(
  words: string,
  create: (holes: Holes) => Step | undefined,
): Form {
  let source = words;
  for (const [hole, pattern] of Object.entries(holePatterns)) {
    source = source.replaceAll(hole, pattern);
  }
  return { pattern: new RegExp(`^${source}$`), create };
}

const forms: readonly Form[] = [
  createForm('title "<text>"', ([text = ""]) => ({ kind: "title", text })),
  createForm("promise <name>", ([name = ""]) => ({ kind: "promise", name })),
  createForm("fault <name>", ([name = ""]) => ({ kind: "fault", name })),
  createForm(
    "fleet of <n> nodes, <n> engines, <n> bookings in <n> zones",
    ([nodes, engines, bookings, zones]) => ({
      kind: "fleet",
      nodes: Number(nodes),
      engines: Number(engines),
      bookings: Number(bookings),
      zones: Number(zones),
    }),
  ),
  createForm(
    'chat <name> at node <n> as <name> for <n> tokens: "<text>"',
    ([name = "", node, team = "", tokens, prompt = ""]) => ({
      kind: "chat",
      name,
      node: Number(node),
      team,
      tokens: Number(tokens),
      prompt,
    }),
  ),
  createForm("leave <name>", ([name = ""]) => ({ kind: "leave", name })),
  createForm(
    "return <name> at node <n>",
    ([name = "", node]) => ({ kind: "return", name, node: Number(node) }),
  ),
  createForm(
    'book <name> at node <n> slot "<text>" with <rest>',
    ([name = "", node, slot = "", key = ""]) => {
      const reference = parseKey(key);
      if (reference === undefined) return undefined;
      return { kind: "book", name, node: Number(node), slot, key: reference };
    },
  ),
  createForm(
    "apply <name> at node <n> adding team <name>",
    ([name = "", node, team = ""]) => ({
      kind: "apply",
      name,
      node: Number(node),
      team,
    }),
  ),
  createForm(
    "after <n> tokens of <name>",
    ([tokens, name = ""]) => ({
      kind: "after_tokens",
      name,
      tokens: Number(tokens),
    }),
  ),
  createForm("after <n> ms", ([ms]) => ({ kind: "after_ms", ms: Number(ms) })),
  createForm("finish <name>", ([name = ""]) => ({ kind: "finish", name })),
  createForm(
    "(kill|freeze|thaw|stop|start) node <n>",
    ([fault, node]) => ({
      kind: "process",
      node: Number(node),
      fault: fault as ProcessFault,
    }),
  ),
  createForm("cut node <n>", ([node]) => ({
    kind: "cut",
    node: Number(node),
    cut: true,
  })),
  createForm("heal node <n>", ([node]) => ({
    kind: "cut",
    node: Number(node),
    cut: false,
  })),
  createForm(
    "engine (<n>|serving <name>) <rest>",
    ([reference = "", , , faultText = ""]) => {
      const fault = parseEngineFault(faultText);
      if (fault === undefined) return undefined;
      return { kind: "engine", engine: parseEngine(reference), fault };
    },
  ),
  createForm("booking service <n> <rest>", ([service, faultText = ""]) => {
    const fault = parseEngineFault(faultText);
    if (fault === undefined) return undefined;
    return { kind: "booking_fault", service: Number(service), fault };
  }),
  createForm("platform <rest>", ([text = ""]) => {
    const fault = parseStoreFault(text);
    return fault === undefined ? undefined : { kind: "store", fault };
  }),
  createForm(
    "reclaim zone <n> with <n> ms notice",
    ([zone, notice]) => ({
      kind: "reclaim_zone",
      zone: Number(zone),
      noticeMs: Number(notice),
    }),
  ),
  createForm(
    "reclaim engine (<n>|serving <name>) with <n> ms notice",
    ([reference = "", , , notice]) => ({
      kind: "reclaim_engine",
      engine: parseEngine(reference),
      noticeMs: Number(notice),
    }),
  ),
  createForm(
    "expect <name> in force everywhere within <n> ms",
    ([name = "", ms]) => ({
      kind: "expect_in_force",
      name,
      withinMs: Number(ms),
    }),
  ),
  createForm(
    "mark engine <n>",
    ([engine]) => ({ kind: "mark_engine", engine: Number(engine) }),
  ),
  createForm(
    "expect node <n> ready within <n> ms",
    ([node, ms]) => ({
      kind: "expect_ready",
      node: Number(node),
      withinMs: Number(ms),
    }),
  ),
  createForm(
    'expect slot "<text>" booked (once|at most once|never)',
    ([slot = "", often]) => ({
      kind: "expect_slot",
      slot,
      atLeast: often === "once" ? 1 : 0,
      atMost: often === "never" ? 0 : 1,
    }),
  ),
  createForm(
    "expect no new work at engine <n> within <n> ms",
    ([engine, ms]) => ({
      kind: "expect_no_work",
      engine: Number(engine),
      waitMs: Number(ms),
    }),
  ),
  createForm("expect <name> <rest>", ([name = "", text = ""]) => {
    const expectation = parseExpectation(text);
    if (expectation === undefined) return undefined;
    return { kind: "expect", name, expectation };
  }),
];

function parseEngine(text: string): EngineReference {
  const serving = /^serving ([\w-]+)$/.exec(text);
  return serving?.[1] === undefined
    ? { kind: "number", engine: Number(text) }
    : { kind: "serving", chat: serving[1] };
}

function parseKey(text: string): KeyReference | undefined {
  if (text === "no key") return { kind: "none" };
  const issued = /^a key of node (\d+)$/.exec(text);
  if (issued !== null) return { kind: "issued", node: Number(issued[1]) };
  const own = /^key "([^"]+)"$/.exec(text);
  if (own?.[1] !== undefined) return { kind: "own", text: own[1] };
  const of = /^the key of ([\w-]+)$/.exec(text);
  return of?.[1] === undefined ? undefined : { kind: "of", booking: of[1] };
}

function parseEngineFault(text: string): EngineFault | undefined {
  const slow = /^slows (\d+) times$/.exec(text);
  if (slow !== null) return { kind: "slow", factor: Number(slow[1]) };
  const cut = /^cuts after (\d+) tokens$/.exec(text);
  if (cut !== null) return { kind: "cut_after", tokens: Number(cut[1]) };
  switch (text) {
    case "vanishes":
      return { kind: "vanish" };
    case "freezes":
      return { kind: "freeze" };
    case "thaws":
      return { kind: "thaw" };
    case "cuts before the first byte":
      return { kind: "cut_before_first" };
    case "cuts before the end":
      return { kind: "cut_before_end" };
    default:
      return undefined;
  }
}

function parseStoreFault(text: string): ObjectApiFault | undefined {
  const slow = /^answers after (\d+) ms$/.exec(text);
  if (slow !== null) return { kind: "slow", ms: Number(slow[1]) };
  switch (text) {
    case "goes out":
      return { kind: "out" };
    case "comes back":
      return { kind: "back" };
    case "loses the next answer":
      return { kind: "lose_next" };
    case "loses all answers":
      return { kind: "lose_all" };
    default:
      return undefined;
  }
}

function parseExpectation(text: string): Expectation | undefined {
  const refused = /^refused ([\w]+)$/.exec(text);
  if (refused?.[1] !== undefined) {
    return { kind: "refused", reason: refused[1] };
  }
  const run = /^run ((?:ran|unknown|not_run)(?: or (?:ran|unknown|not_run))*)$/
    .exec(text);
  if (run?.[1] !== undefined) {
    return { kind: "run", states: run[1].split(" or ") };
  }
  switch (text) {
    case "whole":
      return { kind: "whole" };
    case "answered":
      return { kind: "answered" };
    default:
      return undefined;
  }
}

/** Parses a scenario. */
export function parseScenario(
  file: string,
  text: string,
): Either<ScenarioError, Scenario> {
  const steps: ParsedStep[] = [];
  for (const [index, raw] of text.split("\n").entries()) {
    const line = raw.replace(/(^|\s)#.*$/, "").trim();
    if (line === "") continue;
    const step = parseStep(line);
    if (step === undefined) {
      return Left(ScenarioError.create({
        kind: "unknown_step",
        file,
        line: index + 1,
        text: line,
      }));
    }
    steps.push({ line: index + 1, text: line, step });
  }
  return Right(createScenario(file, steps));
}

function parseStep(line: string): Step | undefined {
  for (const form of forms) {
    const match = form.pattern.exec(line);
    if (match === null) continue;
    const step = form.create(match.slice(1));
    if (step !== undefined) return step;
  }
  return undefined;
}

function createScenario(
  file: string,
  steps: readonly ParsedStep[],
): Scenario {
  const promises: string[] = [];
  const faults: string[] = [];
  let title = file;
  for (const { step } of steps) {
    if (step.kind === "title") title = step.text;
    else if (step.kind === "promise") promises.push(step.name);
    else if (step.kind === "fault") faults.push(step.name);
  }
  return { file, title, promises, faults, steps };
}
