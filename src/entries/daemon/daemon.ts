/** The life of an entry daemon. */
import process from 'node:process';
import {wait} from '../../base/wait.js';
import {apiServerKey} from '../../features/intake/api-server-key.js';
import {readinessKey} from '../../features/intake/readiness-key.js';
import {statusReportKey} from '../../features/intake/status-report-key.js';
import {jobServiceKey} from '../../features/jobs/job-service-key.js';
import {membershipKey} from '../../features/membership/membership-key.js';
import {placementServiceKey} from '../../features/placement/placement-service-key.js';
import {submissionRegistryKey} from '../../features/submissions/submission-registry-key.js';
import {profileServiceKey} from '../../features/profiles/profile-service-key.js';
import {runtimeKeys} from '../../runtime/runtime-keys.js';
import type {Settings} from '../../runtime/settings/settings.js';
import {wireDaemon} from './wiring.js';

/** How long the balancer has to see that the entry isn't ready, before it takes no new connections. */
const readinessLeadMilliseconds = 1000;
/** How long the others have to take over the records of submissions. */
const handoverMilliseconds = 3000;

type Wired = Awaited<ReturnType<typeof wireDaemon>>;

/** Runs from the settings until it's told to stop. */
export class Daemon {
	/** Starts and listens. */
	static async start(settings: Settings): Promise<Daemon> {
		const wired = await wireDaemon(settings);
		const {services, network} = wired;
		const httpPort = await services.get(apiServerKey).listen();
		const daemon = new Daemon(settings, wired, httpPort);
		daemon.#report();
		services.get(runtimeKeys.journal).record('started', {
			instance: settings.entry.instance, zone: settings.entry.zone, httpPort, peerPort: network.port,
		});
		return daemon;
	}

	#isStopping = false;

	private constructor(private readonly settings: Settings, private readonly wired: Wired, readonly httpPort: number) {}

	get peerPort(): number {
		return this.wired.network.port;
	}

	/**
	 * Ends gracefully: readiness goes first, then the zone's slots are handed over, new jobs are refused, and what runs
	 * is finished, up to the drain limit. Returns the number of jobs that the limit cut off.
	 */
	async stop(): Promise<number> {
		this.#isStopping = true;
		const {services} = this.wired;
		const jobs = services.get(jobServiceKey);
		const journal = services.get(runtimeKeys.journal);
		const clock = services.get(runtimeKeys.clock);
		journal.record('draining', {inFlight: jobs.inFlight});
		await wait(clock, readinessLeadMilliseconds);
		services.get(placementServiceKey).resign();
		const intakeClosed = services.get(apiServerKey).close();
		await Promise.race([Promise.all([jobs.drain(), intakeClosed]), wait(clock, this.settings.entry.drainMilliseconds)]);
		const unfinished = jobs.inFlight;
		const registry = services.get(submissionRegistryKey);
		await Promise.race([registry.leave(), wait(clock, handoverMilliseconds)]);
		// Without a whole handover the others must take this entry for lost, and its records too.
		if (registry.registrar.hasHandedOver) {
			services.get(membershipKey).announceLeave();
		}

		journal.record('stopped', {unfinished});
		await wait(clock, 50);
		this.wired.dispose();
		return unfinished;
	}

	#report(): void {
		const {services, network} = this.wired;
		const membership = services.get(membershipKey);
		const placement = services.get(placementServiceKey);
		const book = services.get(profileServiceKey);
		const status = services.get(statusReportKey);
		status.add('entry', () => ({
			instance: this.settings.entry.instance, zone: this.settings.entry.zone, member: network.self.id, isStopping: this.#isStopping,
		}));
		status.add('configuration', () => ({
			nextOffset: book.configuration.nextOffset,
			digest: book.configuration.digest,
			isLoaded: book.isLoaded,
			profiles: [...book.configuration.profiles.values()].map(({profile, revision, state}) => ({name: profile.name, revision, state})),
		}));
		status.add('membership', () => ({members: membership.peers.map(member => ({id: member.id, zone: member.zone, heardAgoMilliseconds: membership.millisecondsSinceHeard(member.id)}))}));
		status.add('placement', () => ({
			arbiter: placement.election.holder?.member,
			isArbiter: placement.election.isArbiter,
			held: placement.slotClient.heldSlots,
			freeSlots: placement.arbiter?.freeSlots,
			waiting: placement.arbiter?.queuedTasks,
		}));
		status.add('jobs', () => ({inFlight: services.get(jobServiceKey).inFlight}));
		status.add('peers', () => network.traffic);
		status.add('process', () => ({
			residentBytes: process.memoryUsage.rss(), heapBytes: process.memoryUsage().heapUsed, cpu: process.cpuUsage(), uptimeSeconds: process.uptime(),
		}));
		const readiness = services.get(readinessKey);
		readiness.add('not stopping', () => !this.#isStopping);
		readiness.add('configuration', () => book.isLoaded);
		const {registrar} = services.get(submissionRegistryKey);
		status.add('submissions', () => ({
			isActive: registrar.isActive, records: registrar.records, bytes: registrar.bytes, circle: registrar.groupMembers.map(member => member.id),
		}));
		readiness.add('registry', () => registrar.isActive);
		readiness.add('arbiter', () => placement.election.holder !== undefined);
	}
}
