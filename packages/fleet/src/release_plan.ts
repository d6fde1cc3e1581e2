/**
 * Applies a release note to a configuration in memory.
 *
 * The note is checked against the configuration: added items must not exist
 * yet, changed and withdrawn items must exist, and no item of the result may
 * refer to a missing one. All errors of these checks are collected.
 */

import { type Either, Left, Right } from "purify-ts";
import type { Service } from "@almondcrank/common/configuration.ts";
import type { FileFault, JsonPath } from "@almondcrank/common/jsonc_file.ts";
import type { ReleasedConfiguration } from "@almondcrank/infrastructure/configuration_codec.ts";
import {
  computeChanges,
  type ConfigurationChange,
} from "./configuration_diff.ts";
import { createInvalidNote, type ParsedNote } from "./release_note.ts";
import {
  type ReleaseNote,
  type SectionName,
  sectionNames,
} from "./release_note_schema.ts";
import type { ReleaseError } from "./release_error.ts";

/**
 * Configuration that results from a note, and its differences from the base.
 */
export interface ReleasePlan {
  readonly configuration: ReleasedConfiguration;
  readonly changes: readonly ConfigurationChange[];
}

interface Named {
  readonly name: string;
}

/** Reference of an item to an item of another section. */
interface Reference {
  readonly section: SectionName;
  readonly name: string;
  readonly field: string;
  readonly target: SectionName;
  readonly targetName: string;
}

/**
 * Applies a note to `base`.
 *
 * @returns The plan, or an `invalid_note` error; references and addresses are
 * checked only when there is no other error.
 */
export function applyNote(
  parsed: ParsedNote,
  base: ReleasedConfiguration,
): Either<ReleaseError, ReleasePlan> {
  const { note } = parsed;
  const faults = [
    ...sectionNames.flatMap((section) =>
      checkSection(parsed, section, base[section])
    ),
    ...checkKinds(parsed, base),
  ];
  if (faults.length > 0) return Left(createInvalidNote(parsed, faults));
  const configuration: ReleasedConfiguration = {
    teams: applySection(note, "teams", base.teams),
    models: applySection(note, "models", base.models),
    adapters: applySection(note, "adapters", base.adapters),
    services: applySection(note, "services", base.services),
    endpoints: applySection(note, "endpoints", base.endpoints),
  };
  const referenceFaults = [
    ...checkReferences(parsed, configuration),
    ...checkAdapters(parsed, configuration),
    ...checkAddresses(parsed, configuration),
  ];
  if (referenceFaults.length > 0) {
    return Left(createInvalidNote(parsed, referenceFaults));
  }
  return Right({ configuration, changes: computeChanges(base, configuration) });
}

function applySection<T extends Named>(
  note: ReleaseNote,
  section: SectionName,
  base: readonly T[],
): T[] {
  const withdrawn = new Set(note.withdraw[section]);
  const changes = new Map<string, object>(
    note.change[section].map((change) => [change.name, change]),
  );
  const kept = base.filter(({ name }) => !withdrawn.has(name))
    .map((item) => ({ ...item, ...changes.get(item.name) }));
  // The schema of `add` is that of the section's items.
  return [...kept, ...note.add[section] as unknown as readonly T[]];
}

function checkSection(
  { note, createFault }: ParsedNote,
  section: SectionName,
  base: readonly Named[],
): FileFault[] {
  const faults: FileFault[] = [];
  const existing = new Set(base.map(({ name }) => name));
  const seen = new Set<string>();
  const check = (path: JsonPath, name: string, isAdd: boolean): void => {
    const subject = `${section.slice(0, -1)} "${name}"`;
    if (seen.has(name)) {
      faults.push(createFault(
        path,
        `names ${subject} a second time; keep one entry`,
      ));
    } else if (isAdd && existing.has(name)) {
      faults.push(createFault(
        path,
        `adds ${subject}, which exists; move it to change`,
      ));
    } else if (!isAdd && !existing.has(name)) {
      faults.push(createFault(
        path,
        `names ${subject}, which does not exist; add it or correct the name`,
      ));
    }
    seen.add(name);
  };
  note.add[section].forEach(({ name }, i) =>
    check(["add", section, i, "name"], name, true)
  );
  note.change[section].forEach(({ name }, i) =>
    check(["change", section, i, "name"], name, false)
  );
  note.withdraw[section].forEach((name, i) =>
    check(["withdraw", section, i], name, false)
  );
  return faults;
}

function checkKinds(
  { note, createFault }: ParsedNote,
  base: ReleasedConfiguration,
): FileFault[] {
  return note.change.services.flatMap((change, i) => {
    const service = base.services.find(({ name }) => name === change.name);
    if (service === undefined || service.kind === change.kind) return [];
    return [createFault(
      ["change", "services", i, "kind"],
      `is "${service.kind}" and cannot change; withdraw the service, then add it again`,
    )];
  });
}

function listReferences(configuration: ReleasedConfiguration): Reference[] {
  return [
    ...configuration.adapters.map(({ name, model }): Reference => ({
      section: "adapters",
      name,
      field: "model",
      target: "models",
      targetName: model,
    })),
    ...configuration.services.flatMap(listServiceReferences),
    ...configuration.endpoints.map(({ name, service }): Reference => ({
      section: "endpoints",
      name,
      field: "service",
      target: "services",
      targetName: service,
    })),
  ];
}

function listServiceReferences(service: Service): Reference[] {
  if (service.kind === "plain") return [];
  const { name } = service;
  const section = "services";
  return [
    {
      section,
      name,
      field: "model",
      target: "models",
      targetName: service.model,
    },
    ...service.adapters.map((targetName): Reference => ({
      section,
      name,
      field: "adapters",
      target: "adapters",
      targetName,
    })),
  ];
}

function checkReferences(
  parsed: ParsedNote,
  configuration: ReleasedConfiguration,
): FileFault[] {
  const names = new Map(sectionNames.map((section) => [
    section,
    new Set(configuration[section].map(({ name }) => name)),
  ]));
  return listReferences(configuration)
    .filter(({ target, targetName }) => !names.get(target)?.has(targetName))
    .map((reference) => createReferenceFault(parsed, reference));
}

function createReferenceFault(
  { note, createFault }: ParsedNote,
  { section, name, field, target, targetName }: Reference,
): FileFault {
  const missing = `${target.slice(0, -1)} "${targetName}"`;
  const user = `${section.slice(0, -1)} "${name}"`;
  const withdrawn = note.withdraw[target].indexOf(targetName);
  if (withdrawn >= 0) {
    return createFault(
      ["withdraw", target, withdrawn],
      `withdraws ${missing}, which ${user} uses; withdraw or change ${user} too`,
    );
  }
  return createFault(
    [...findItemPath(note, section, name), field],
    `refers to ${missing}, which does not exist; add it or correct the name`,
  );
}

/**
 * Finds the path at which a note adds or changes an item; empty if it does not.
 */
function findItemPath(
  note: ReleaseNote,
  section: SectionName,
  name: string,
): (string | number)[] {
  for (const part of ["add", "change"] as const) {
    const i = note[part][section].findIndex((item) => item.name === name);
    if (i >= 0) return [part, section, i];
  }
  return [];
}

function checkAdapters(
  { note, createFault }: ParsedNote,
  configuration: ReleasedConfiguration,
): FileFault[] {
  const models = new Map(
    configuration.adapters.map(({ name, model }) => [name, model]),
  );
  return configuration.services.flatMap((service) => {
    if (service.kind === "plain") return [];
    return service.adapters
      .filter((adapter) =>
        (models.get(adapter) ?? service.model) !== service.model
      )
      .map((adapter) =>
        createFault(
          [...findItemPath(note, "services", service.name), "adapters"],
          `service "${service.name}" uses adapter "${adapter}", which belongs to another model; remove the adapter or change its model`,
        )
      );
  });
}

function checkAddresses(
  { note, createFault }: ParsedNote,
  configuration: ReleasedConfiguration,
): FileFault[] {
  const owners = new Map<string, string>();
  const faults: FileFault[] = [];
  for (const { name, address } of configuration.endpoints) {
    const owner = owners.get(address);
    if (owner === undefined) {
      owners.set(address, name);
      continue;
    }
    faults.push(createFault(
      [...findItemPath(note, "endpoints", name), "address"],
      `endpoint "${name}" has the address of endpoint "${owner}"; give each endpoint its own address`,
    ));
  }
  return faults;
}
