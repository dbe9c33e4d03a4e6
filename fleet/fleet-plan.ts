/** What a fleet consists of. */

/** Zones are named zone-1, zone-2 and so on; each has the same number of entries and targets. */
export type FleetPlan = {
	readonly zones: number;
	readonly entriesPerZone: number;
	readonly targetsPerZone: number;
	readonly slots: number;
	/** Further lines for the entries' settings, by table. */
	readonly settings: Readonly<Record<string, string>>;
	/** The entries' DEBUG variable. */
	readonly debug: string;
	/** Labels of the first target of each zone. */
	readonly firstTargetLabels: readonly string[];
};
