/**
 * Differences between two configurations, typed for programs and as text.
 */

import type { ReleasedConfiguration } from "@almondcrank/infrastructure/configuration_codec.ts";
import { type SectionName, sectionNames } from "./release_note_schema.ts";

/** A field whose value differs. */
export interface FieldChange {
  readonly field: string;
  readonly from: unknown;
  readonly to: unknown;
}

/** One item that differs. */
export type ConfigurationChange =
  | {
    readonly kind: "added";
    readonly section: SectionName;
    readonly name: string;
  }
  | {
    readonly kind: "changed";
    readonly section: SectionName;
    readonly name: string;
    readonly fields: readonly FieldChange[];
  }
  | {
    readonly kind: "withdrawn";
    readonly section: SectionName;
    readonly name: string;
  };

interface Named {
  readonly name: string;
}

/** Computes what leads from one configuration to another, in section order. */
export function computeChanges(
  from: ReleasedConfiguration,
  to: ReleasedConfiguration,
): ConfigurationChange[] {
  return sectionNames.flatMap((section) =>
    computeSectionChanges(section, { from: from[section], to: to[section] })
  );
}

/** Formats a change as one line, such as `change team counter: priority 5 -> 2`. */
export function formatChange(change: ConfigurationChange): string {
  const subject = `${change.section.slice(0, -1)} ${change.name}`;
  switch (change.kind) {
    case "added":
      return `add ${subject}`;
    case "withdrawn":
      return `withdraw ${subject}`;
    case "changed": {
      const fields = change.fields.map(({ field, from, to }) =>
        `${field} ${JSON.stringify(from)} -> ${JSON.stringify(to)}`
      );
      return `change ${subject}: ${fields.join(", ")}`;
    }
  }
}

function computeSectionChanges(
  section: SectionName,
  { from, to }: {
    readonly from: readonly Named[];
    readonly to: readonly Named[];
  },
): ConfigurationChange[] {
  const before = new Map(from.map((item) => [item.name, item]));
  const after = new Set(to.map((item) => item.name));
  const changes: ConfigurationChange[] = from
    .filter(({ name }) => !after.has(name))
    .map(({ name }) => ({ kind: "withdrawn", section, name }));
  for (const item of to) {
    const { name } = item;
    const old = before.get(name);
    if (old === undefined) {
      changes.push({ kind: "added", section, name });
      continue;
    }
    const fields = computeFieldChanges(old, item);
    if (fields.length > 0) {
      changes.push({ kind: "changed", section, name, fields });
    }
  }
  return changes;
}

function computeFieldChanges(from: object, to: object): FieldChange[] {
  const before = new Map<string, unknown>(Object.entries(from));
  const after = new Map<string, unknown>(Object.entries(to));
  const fields = new Set([...before.keys(), ...after.keys()]);
  return [...fields]
    .map((field) => ({
      field,
      from: before.get(field),
      to: after.get(field),
    }))
    .filter(({ from, to }) => JSON.stringify(from) !== JSON.stringify(to));
}
