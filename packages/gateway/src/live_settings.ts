/**
 * Settings that follow their file while the process runs.
 *
 * The file is read again on request and whenever its text has changed. A text
 * that cannot be used changes nothing. Bounds take effect at once; addresses and
 * names belong to the process and take effect at its next start.
 */

import type { Either } from "purify-ts";
import { Emitter, type Event } from "@almondcrank/common/emitter.ts";
import type { Log } from "@almondcrank/common/logs.ts";
import type { GatewaySettings } from "@almondcrank/model/gateway_settings.ts";
import type { SettingsError } from "@almondcrank/platform/decode_settings.ts";

/** What live settings need. */
export interface LiveSettingsOptions {
  readonly log: Log;
  /** Reads the file's text; throws when it cannot be read. */
  readonly readText: () => string;
  readonly decode: (text: string) => Either<SettingsError, GatewaySettings>;
}

/** Settings of one process. */
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

  /** Reads the file for the first time. */
  static create(
    options: LiveSettingsOptions,
  ): Either<SettingsError, LiveSettings> {
    const text = options.readText();
    return options.decode(text)
      .map((settings) => new LiveSettings(options, text, settings));
  }

  /** Fired when other settings are in force. */
  readonly onChanged: Event<GatewaySettings> = this.#changed.event;

  get current(): GatewaySettings {
    return this.#current;
  }

  /** Reads the file again, and applies it when its text has changed. */
  refresh(): void {
    const text = this.#readText();
    if (text === undefined || text === this.#text) return;
    this.#text = text;
    this.#options.decode(text).caseOf<void>({
      Left: (error) => {
        this.#options.log.error("changed settings were not taken up.", {
          reason: error.message,
        });
      },
      Right: (settings) => this.#apply(settings),
    });
  }

  #readText(): string | undefined {
    try {
      return this.#options.readText();
    } catch (thrown) {
      const reason = thrown instanceof Error ? thrown.message : String(thrown);
      this.#options.log.error("the settings file cannot be read.", { reason });
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
    this.#options.log.info("changed settings are in force.", { needsRestart });
    this.#changed.fire(settings);
  }
}
