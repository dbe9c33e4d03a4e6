/** Configuration of a local test cluster. */

/** Size and settings of a fleet. Zones are named `zone-1`, `zone-2` and so on. */
export type FleetPlan = {
	readonly zones: number;
	readonly entriesPerZone: number;
	readonly targetsPerZone: number;
	/** Concurrent tasks per target. */
	readonly slots: number;
	/** Additional TOML lines for the settings of every entry, keyed by table. */
	readonly settings: Readonly<Record<string, string>>;
	/** Value of the `DEBUG` environment variable of every entry. */
	readonly debug: string;
	/** Labels of the first target in each zone. */
	readonly firstTargetLabels: readonly string[];
};
