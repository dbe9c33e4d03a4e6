/** Lifecycle of the entry daemon. */
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

/** Delay between reporting not ready and closing the HTTP server, so that the load balancer can stop sending requests. */
const readinessLeadMilliseconds = 1000;
/** Time limit for handing the submission records over to other entries. */
const handoverMilliseconds = 3000;
/** Time for the last messages to leave the process. */
const flushMilliseconds = 50;

type Wired = Awaited<ReturnType<typeof wireDaemon>>;

/** Runs an entry from its settings until it is stopped. */
export class Daemon {
	/** Starts the services and opens the peer and HTTP ports. */
	static async start(settings: Settings): Promise<Daemon> {
		const wired = await wireDaemon(settings);
		const {services, network} = wired;
		const httpPort = await services.get(apiServerKey).listen();
		const daemon = new Daemon(settings, wired, httpPort);
		daemon.#addStatusReports();
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
	 * Shuts down gracefully: reports not ready, hands the zone's slots over, refuses new jobs, and waits for running jobs up
	 * to the drain limit. Returns the number of jobs that were still running at the limit.
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
		// After an incomplete handover the other entries must treat this one as failed and its records as lost.
		if (registry.registrar.hasHandedOver) {
			services.get(membershipKey).announceLeave();
		}

		journal.record('stopped', {unfinished});
		await wait(clock, flushMilliseconds);
		this.wired.dispose();
		return unfinished;
	}

	#addStatusReports(): void {
		const {services, network} = this.wired;
		const membership = services.get(membershipKey);
		const placement = services.get(placementServiceKey);
		const profiles = services.get(profileServiceKey);
		const status = services.get(statusReportKey);
		status.add('entry', () => ({
			instance: this.settings.entry.instance, zone: this.settings.entry.zone, member: network.self.id, isStopping: this.#isStopping,
		}));
		status.add('configuration', () => ({
			nextOffset: profiles.configuration.nextOffset,
			digest: profiles.configuration.digest,
			isLoaded: profiles.isLoaded,
			profiles: [...profiles.configuration.profiles.values()].map(({profile, revision, state}) => ({name: profile.name, revision, state})),
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
		readiness.add('configuration', () => profiles.isLoaded);
		const {registrar} = services.get(submissionRegistryKey);
		status.add('submissions', () => ({
			isActive: registrar.isActive, records: registrar.records, bytes: registrar.bytes, circle: registrar.groupMembers.map(member => member.id),
		}));
		readiness.add('registry', () => registrar.isActive);
		readiness.add('arbiter', () => placement.election.holder !== undefined);
	}
}
