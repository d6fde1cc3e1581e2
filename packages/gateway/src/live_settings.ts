/**
 * Settings that are reloaded from their file while the process runs.
 *
 * `refresh` reads the file and applies it if its text has changed. Invalid text
 * changes nothing. Bounds take effect at once; addresses and names take effect at
 * the next start of the process.
 */

import { type Either, Left } from "purify-ts";
import type { Clock } from "@almondcrank/common/clock.ts";
import { Emitter, type Event } from "@almondcrank/common/emitter.ts";
import { formatThrown } from "@almondcrank/common/kind_error.ts";
import type { Log } from "@almondcrank/common/logs.ts";
import type { GatewaySettings } from "@almondcrank/model/gateway_settings.ts";
import { SettingsError } from "@almondcrank/platform/decode_settings.ts";

/** Log, reader and decoder of the settings. */
export interface LiveSettingsOptions {
  readonly log: Log;
  /** Reads the file's text; throws when it cannot be read. */
  readonly readText: () => string;
  readonly decode: (text: string) => Either<SettingsError, GatewaySettings>;
}

/** Time in which a file that can't be used yet may become whole. */
const firstReadMs = 2_000;
const firstReadPollMs = 50;

/** Current settings of one process. */
export class LiveSettings {
  readonly #options: LiveSettingsOptions;
  readonly #changed = Emitter.create<GatewaySettings>();
  #text: string;
  #current: GatewaySettings;

  private constructor(
    options: LiveSettingsOptions,
    text: string,
    current: GatewaySettings,
  ) {
    this.#options = options;
    this.#text = text;
    this.#current = current;
  }

  /**
   * Reads the file at the start of the process. It may be about to be written, so
   * one that is missing or invalid is read again for two seconds.
   */
  static async open(
    options: LiveSettingsOptions,
    clock: Clock,
  ): Promise<Either<SettingsError, LiveSettings>> {
    const endsAt = clock.now() + firstReadMs;
    while (true) {
      const settings = readFirst(options);
      if (settings.isRight() || clock.now() >= endsAt) return settings;
      await clock.sleep(firstReadPollMs);
    }
  }

  /** Reads the file; `Left` if it is invalid. Throws if it cannot be read. */
  static create(
    options: LiveSettingsOptions,
  ): Either<SettingsError, LiveSettings> {
    const text = options.readText();
    return options.decode(text)
      .map((settings) => new LiveSettings(options, text, settings));
  }

  /** Fired when changed settings were applied. */
  readonly onChanged: Event<GatewaySettings> = this.#changed.event;

  get current(): GatewaySettings {
    return this.#current;
  }

  /** Reads the file again and applies it if its text has changed; logs errors. */
  refresh(): void {
    const text = this.#readText();
    if (text === undefined || text === this.#text) return;
    this.#text = text;
    this.#options.decode(text).caseOf<void>({
      Left: (error) => {
        this.#options.log.error(
          "changed settings are invalid and were not applied, correct the file.",
          {
            reason: error.message,
          },
        );
      },
      Right: (settings) => this.#apply(settings),
    });
  }

  #readText(): string | undefined {
    try {
      return this.#options.readText();
    } catch (thrown) {
      const reason = formatThrown(thrown);
      this.#options.log.error(
        "the settings file cannot be read, the current settings stay.",
        { reason },
      );
      return undefined;
    }
  }

  #apply(settings: GatewaySettings): void {
    const previous = this.#current;
    this.#current = settings;
    const needsRestart = previous.callers !== settings.callers ||
      previous.readiness !== settings.readiness ||
      previous.control !== settings.control ||
      previous.storeAddress !== settings.storeAddress ||
      previous.cloudAddress !== settings.cloudAddress;
    this.#options.log.info("changed settings were applied.", { needsRestart });
    this.#changed.fire(settings);
  }
}

function readFirst(
  options: LiveSettingsOptions,
): Either<SettingsError, LiveSettings> {
  try {
    return LiveSettings.create(options);
  } catch (thrown) {
    const reason = formatThrown(thrown);
    return Left(
      SettingsError.create([
        `the file cannot be read (${reason}); give the path of a readable one`,
      ]),
    );
  }
}
